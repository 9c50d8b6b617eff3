package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.ownership.Lease;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreController;

/**
 * Leases, from all three sides: this node's own lease, its promises to other holders, and its take-overs.
 *
 * <p>A holder may serve while a majority of the lease peers in its row vouches for it. A take-over reads the row, has a
 * majority of those peers promise never to vouch again, waits until what they had promised has run out, and then ends
 * the incarnation by a compare-and-set of the row. Two majorities share a member, so the holder has lapsed by then.
 */
public final class LeaseController implements Lease {

    private static final long ORPHAN_CHECKS_PER_LEASE = 2;

    private final MemberId self;
    private final LeaseTimings terms;
    private final LeaseHolderController holder;
    private final LeaseGrantorController vouchers;
    private final TakeoverController takeovers;
    private long nextOrphanCheck = Long.MIN_VALUE;

    /**
     * Makes the desk of a node that has no row yet.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink takes the rows that this desk writes or reads
     * @param listener is told of each transition
     */
    public LeaseController(
            CoreSettings settings,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(settings, "settings").self();
        this.terms = LeaseTimings.of(settings.timing());
        this.holder = new LeaseHolderController(self, terms, directory, store, sink, listener);
        this.takeovers = new TakeoverController(self, terms, directory, store, sink, listener);
        this.vouchers = new LeaseGrantorController(self, terms, directory, holder, takeovers, listener);
    }

    @Override
    public boolean holds(long now) {
        return holder.holds(now);
    }

    /**
     * Takes a row that the directory has learnt.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        if (!(row.value() instanceof MemberRow member)) {
            return;
        }
        if (member.id().equals(self)) {
            holder.learnt(row, now, effects);
        }
        vouchers.learnt(member, now, effects);
        if (member.status().over()) {
            takeovers.ended(member.id(), now, effects);
        }
    }

    /**
     * Takes a request to vouch.
     *
     * @param from the holder
     * @param vouch the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void vouchAsked(MemberId from, PeerMessage.Vouch vouch, long now, Effects effects) {
        vouchers.vouchAsked(from, vouch, now, effects);
    }

    /**
     * Takes the answer of a lease peer to a request to vouch.
     *
     * @param from the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void vouchReplied(MemberId from, PeerMessage.VouchReply reply, long now, Effects effects) {
        holder.replied(from, reply, now, effects);
    }

    /**
     * Takes a request to seal.
     *
     * @param from the member that takes over
     * @param seal the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void sealAsked(MemberId from, PeerMessage.Seal seal, long now, Effects effects) {
        vouchers.sealAsked(from, seal, now, effects);
    }

    /**
     * Takes the answer of a lease peer to a request to seal.
     *
     * @param from the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void sealReplied(MemberId from, PeerMessage.SealReply reply, long now, Effects effects) {
        takeovers.sealAnswered(from, reply, now, effects);
    }

    /**
     * Treats the lease as lapsed until it is vouched for again, since the node did not run for a while.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void paused(long now, Effects effects) {
        holder.paused(now, effects);
    }

    /**
     * Ends this node's lease and its promises before it writes the end of its own incarnation.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void leave(long now, Effects effects) {
        holder.ended(now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        holder.advance(now, effects);
        vouchers.advance(now, effects);
        takeovers.advance(now, effects);
        if (now >= nextOrphanCheck) {
            nextOrphanCheck = now + terms.promise() / ORPHAN_CHECKS_PER_LEASE;
            takeovers.beginOrphans(now, effects);
        }
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long timers = Math.min(holder.nextDue(), Math.min(vouchers.nextDue(), takeovers.nextDue()));
        return Math.min(timers, nextOrphanCheck);
    }
}
