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
 * Handles leases in all three roles: as lease holder, as grantor to other lease holders, and in take-overs.
 *
 * <p>A lease holder may serve while a majority of the lease peers in its row grants it a lease. A take-over reads the
 * row, has a majority of those peers seal the holder, waits until the leases that they had granted have expired, and
 * then ends the incarnation by a compare-and-set of the row. A peer that has sealed a holder never again grants a lease
 * to that incarnation. Any two majorities share a member, so the holder's lease has lapsed by then.
 */
public final class LeaseController implements Lease {

    private static final long ORPHAN_CHECKS_PER_LEASE = 2;

    private final MemberId self;
    private final LeaseTimings timings;
    private final LeaseHolderController holder;
    private final LeaseGrantorController grantor;
    private final TakeoverController takeovers;
    private long nextOrphanCheck = Long.MIN_VALUE;

    /**
     * Creates the controller of a node that has no row yet.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store submits calls to the table service
     * @param sink receives the rows that this controller writes or reads
     * @param listener notified of each transition
     */
    public LeaseController(
            CoreSettings settings,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(settings, "settings").self();
        this.timings = LeaseTimings.of(settings.timing());
        this.holder = new LeaseHolderController(self, timings, directory, store, sink, listener);
        this.takeovers = new TakeoverController(self, timings, directory, store, sink, listener);
        this.grantor = new LeaseGrantorController(self, timings, directory, holder, takeovers, listener);
    }

    @Override
    public boolean holds(long now) {
        return holder.holds(now);
    }

    /**
     * Handles a new version of a row that the directory has accepted.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        if (!(row.value() instanceof MemberRow member)) {
            return;
        }
        if (member.id().equals(self)) {
            holder.onRow(row, now, effects);
        }
        grantor.onRow(member, now, effects);
        if (member.status().hasEnded()) {
            takeovers.onHolderEnded(member.id(), now, effects);
        }
    }

    /**
     * Handles the request for a lease from a lease holder.
     *
     * @param from the lease holder
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest request, long now, Effects effects) {
        grantor.onLeaseRequest(from, request, now, effects);
    }

    /**
     * Handles the answer of a lease peer to a request for a lease.
     *
     * @param from the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onLeaseReply(MemberId from, PeerMessage.LeaseReply reply, long now, Effects effects) {
        holder.onLeaseReply(from, reply, now, effects);
    }

    /**
     * Handles the request to seal a lease holder.
     *
     * @param from the member that performs the take-over
     * @param seal the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSeal(MemberId from, PeerMessage.Seal seal, long now, Effects effects) {
        grantor.onSeal(from, seal, now, effects);
    }

    /**
     * Handles the answer of a lease peer to a request to seal a lease holder.
     *
     * @param from the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSealReply(MemberId from, PeerMessage.SealReply reply, long now, Effects effects) {
        takeovers.onSealReply(from, reply, now, effects);
    }

    /**
     * Treats the lease as lapsed until it is granted again, since the process was suspended for a while.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSuspended(long now, Effects effects) {
        holder.onSuspended(now, effects);
    }

    /**
     * Ends this node's lease for good. After that the node grants no leases either. Must be called before the node
     * writes the end of its own incarnation.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void end(long now, Effects effects) {
        holder.end(now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        holder.advance(now, effects);
        grantor.advance(now, effects);
        takeovers.advance(now, effects);
        if (now >= nextOrphanCheck) {
            nextOrphanCheck = now + timings.leaseDuration() / ORPHAN_CHECKS_PER_LEASE;
            takeovers.beginForOrphans(now, effects);
        }
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        long timers = Math.min(holder.nextDue(), Math.min(grantor.nextDue(), takeovers.nextDue()));
        return Math.min(timers, nextOrphanCheck);
    }
}
