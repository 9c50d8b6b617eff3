package org.verbenamast.core.lease;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.ownership.Lease;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** This node's own lease: it asks the lease peers to vouch and replaces those that are lost. */
public final class LeaseHolderController implements Lease {

    /** The names that the chart file may use. */
    public static final Vocabulary<
                    LeaseHolderEvent, LeaseHolderGuard, LeaseHolderAction, LeaseHolderTimer, LeaseHolderTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseHolderEvent.class,
                    LeaseHolderGuard.class,
                    LeaseHolderAction.class,
                    LeaseHolderTimer.class,
                    LeaseHolderTag.class);

    private final MemberId self;
    private final LeaseTimings terms;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final PeerProbe probe;
    private final ChartInstances<MemberId, LeaseHolderEvent, LeaseHolderData, LeaseHolderInput> lease;
    private boolean calling;
    private boolean over;
    private long operations;

    /**
     * Makes the desk of a node that has no row yet.
     *
     * @param self this incarnation
     * @param terms the durations of leases
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink takes the rows that this desk writes or reads
     * @param listener is told of each transition
     */
    public LeaseHolderController(
            MemberId self,
            LeaseTimings terms,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.terms = Objects.requireNonNull(terms, "terms");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.probe = new PeerProbe(terms);
        Chart<LeaseHolderEvent, LeaseHolderData, LeaseHolderInput> chart = ChartReader.bundled("lease", VOCABULARY);
        this.lease = new ChartInstances<>(chart, event -> LeaseHolderInput.NONE, listener);
    }

    @Override
    public boolean holds(long now) {
        Instance<LeaseHolderData> held = lease.find(self);
        return held != null && held.is(LeaseHolderTag.HOLDS) && held.data().heldUntil() > now;
    }

    /**
     * Tells whether this node may vouch for others.
     *
     * @param now the monotonic time, in nanoseconds
     * @return whether its incarnation can't have ended long ago
     */
    public boolean mayVouch(long now) {
        Instance<LeaseHolderData> held = lease.find(self);
        return held != null && held.data().standingUntil() > now;
    }

    /**
     * Takes the node's own row where the directory has learnt a later version.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        MemberRow member = (MemberRow) row.value();
        if (member.status().over()) {
            ended(now, effects);
            return;
        }
        if (!over && lease.find(self) == null) {
            lease.begin(self, LeaseHolderData.begun(self, this, now), now);
        }
        fire(LeaseHolderEvent.ROW_LEARNT, LeaseHolderInput.row(row.version(), member.leasePeers()), now, effects);
    }

    /**
     * Ends the lease for good.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void ended(long now, Effects effects) {
        over = true;
        fire(LeaseHolderEvent.ENDED, LeaseHolderInput.NONE, now, effects);
    }

    /**
     * Takes the answer of a lease peer.
     *
     * @param peer the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void replied(MemberId peer, PeerMessage.VouchReply reply, long now, Effects effects) {
        if (reply.granted() && reply.sentAt() <= now) {
            probe.heard(peer, now);
            fire(LeaseHolderEvent.VOUCHED, LeaseHolderInput.vouched(peer, reply.sentAt()), now, effects);
        }
    }

    /**
     * Treats the lease as lapsed until it is vouched for again, since the node did not run for a while.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void paused(long now, Effects effects) {
        fire(LeaseHolderEvent.PAUSED, LeaseHolderInput.NONE, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        lease.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return lease.nextDue();
    }

    LeaseTimings terms() {
        return terms;
    }

    void giveUp() {
        over = true;
    }

    void forgetSilence() {
        probe.forget();
    }

    LeaseHolderData ask(LeaseHolderData data, long now, Effects effects) {
        MemberRow row = directory.member(self);
        List<MemberId> wanted = new PeerChoice(row, probe::usable).from(directory.members());
        Set<MemberId> asked = new LinkedHashSet<>(wanted);
        data.lists().inForce().forEach(asked::addAll);
        asked.remove(self);
        probe.asked(asked, now);
        for (MemberId peer : asked) {
            effects.emit(new Effect.SendToPeer(peer, new PeerMessage.Vouch(peer, now)));
        }
        return call(data, row, wanted, now, effects).withNextAsk(now + terms.askEvery());
    }

    private LeaseHolderData call(
            LeaseHolderData data, MemberRow row, List<MemberId> wanted, long now, Effects effects) {
        if (calling) {
            return data;
        }
        boolean ready = wanted.stream().allMatch(peer -> data.vouchedBy(peer, now));
        boolean change = ready && !wanted.equals(data.lists().committed());
        if (change || data.lists().inForce().contains(List.<MemberId>of())) {
            List<MemberId> list = change ? wanted : data.lists().committed();
            write(row, list, now, effects);
            return data.withLists(data.lists().proposing(list));
        }
        if (data.standingUntil() <= now) {
            read(now, effects);
        }
        return data;
    }

    private void write(MemberRow row, List<MemberId> peers, long now, Effects effects) {
        MemberRow next = row.withLeasePeers(peers, self + "/lease/" + ++operations);
        RowWrite write = new RowWrite(MemberRow.keyOf(self), directory.version(MemberRow.keyOf(self)), next);
        submit(new StoreRequest.Commit(List.of(write)), now, effects);
    }

    private void read(long now, Effects effects) {
        submit(new StoreRequest.ReadRow(MemberRow.keyOf(self)), now, effects);
    }

    private void submit(StoreRequest request, long sentAt, Effects effects) {
        calling = true;
        store.submit(request, sentAt, effects, (reply, now, out) -> {
            calling = false;
            answered(reply, sentAt, now, out);
        });
    }

    private void answered(StoreReply reply, long sentAt, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> sink.onRowWritten(row, now, effects));
            fire(LeaseHolderEvent.ROW_WRITTEN, LeaseHolderInput.shown(sentAt), now, effects);
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> shown(row, sentAt, now, effects));
        } else if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> shown(row, sentAt, now, effects));
        }
    }

    private void shown(Row row, long sentAt, long now, Effects effects) {
        sink.onRowRead(row, now, effects);
        fire(LeaseHolderEvent.ROW_SHOWN, LeaseHolderInput.shown(sentAt), now, effects);
    }

    private void fire(LeaseHolderEvent event, LeaseHolderInput input, long now, Effects effects) {
        lease.fire(self, event, input, now, effects);
    }
}
