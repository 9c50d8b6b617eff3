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

/** Keeps this node's own lease: requests it from the lease peers and replaces those that are inactive or silent. */
public final class LeaseHolderController implements Lease {

    /** The events, guards, actions, timers and tags that the chart file may name. */
    public static final Vocabulary<
                    LeaseHolderEvent, LeaseHolderGuard, LeaseHolderAction, LeaseHolderTimer, LeaseHolderTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseHolderEvent.class,
                    LeaseHolderGuard.class,
                    LeaseHolderAction.class,
                    LeaseHolderTimer.class,
                    LeaseHolderTag.class);

    private final MemberId self;
    private final LeaseTimings timings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final UnresponsivePeers unresponsivePeers;
    private final ChartInstances<MemberId, LeaseHolderEvent, LeaseHolderData, LeaseHolderInput> lease;
    private boolean storeCallPending;
    private boolean ended;
    private long operationCount;

    /**
     * Creates the controller of a node that has no row yet.
     *
     * @param self this incarnation
     * @param timings the durations of leases
     * @param directory the rows that the node knows
     * @param store submits calls to the table service
     * @param sink receives the rows that this controller writes or reads
     * @param listener notified of each transition
     */
    public LeaseHolderController(
            MemberId self,
            LeaseTimings timings,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.timings = Objects.requireNonNull(timings, "timings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.unresponsivePeers = new UnresponsivePeers(timings);
        Chart<LeaseHolderEvent, LeaseHolderData, LeaseHolderInput> chart = ChartReader.bundled("lease", VOCABULARY);
        this.lease = new ChartInstances<>(chart, event -> LeaseHolderInput.NONE, listener);
    }

    @Override
    public boolean holds(long now) {
        Instance<LeaseHolderData> instance = lease.find(self);
        return instance != null
                && instance.hasTag(LeaseHolderTag.HOLDS)
                && instance.data().heldUntil() > now;
    }

    /**
     * Returns whether this node may grant leases to others.
     *
     * @param now the monotonic time, in nanoseconds
     * @return whether this node's incarnation cannot have ended long ago
     */
    public boolean mayGrant(long now) {
        Instance<LeaseHolderData> instance = lease.find(self);
        return instance != null && instance.data().mayGrantUntil() > now;
    }

    /**
     * Handles a later version of the node's own row.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        MemberRow member = (MemberRow) row.value();
        if (member.status().hasEnded()) {
            end(now, effects);
            return;
        }
        if (!ended && lease.find(self) == null) {
            lease.begin(self, LeaseHolderData.initial(self, this, now), now);
        }
        fire(LeaseHolderEvent.ROW_LEARNT, LeaseHolderInput.row(row.version(), member.leasePeers()), now, effects);
    }

    /**
     * Ends the lease for good, so that no later event can renew it.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void end(long now, Effects effects) {
        ended = true;
        fire(LeaseHolderEvent.ENDED, LeaseHolderInput.NONE, now, effects);
    }

    /**
     * Handles the answer of a lease peer to a request for a lease.
     *
     * @param peer the lease peer
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onLeaseReply(MemberId peer, PeerMessage.LeaseReply reply, long now, Effects effects) {
        if (reply.granted() && reply.sentAt() <= now) {
            unresponsivePeers.onLeaseGranted(peer, now);
            fire(LeaseHolderEvent.VOUCHED, LeaseHolderInput.granted(peer, reply.sentAt()), now, effects);
        }
    }

    /**
     * Treats the lease as lapsed until it is granted again, since the process was suspended for a while.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onSuspended(long now, Effects effects) {
        fire(LeaseHolderEvent.PAUSED, LeaseHolderInput.NONE, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        lease.advance(now, effects);
    }

    /**
     * Returns when {@link #advance} has to be called next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return lease.nextDue();
    }

    LeaseTimings timings() {
        return timings;
    }

    void markEnded() {
        ended = true;
    }

    void resetUnresponsivePeers() {
        unresponsivePeers.reset();
    }

    LeaseHolderData requestLeases(LeaseHolderData data, long now, Effects effects) {
        MemberRow row = directory.member(self);
        List<MemberId> wanted = new PeerChoice(row, unresponsivePeers::isUsable).choose(directory.members());
        Set<MemberId> recipients = new LinkedHashSet<>(wanted);
        data.peerLists().inForce().forEach(recipients::addAll);
        recipients.remove(self);
        unresponsivePeers.onRequestsSent(recipients, now);
        for (MemberId peer : recipients) {
            effects.emit(new Effect.SendToPeer(peer, new PeerMessage.LeaseRequest(peer, now)));
        }
        return writeOrReadRow(data, row, wanted, now, effects).withNextRequestAt(now + timings.renewalInterval());
    }

    private LeaseHolderData writeOrReadRow(
            LeaseHolderData data, MemberRow row, List<MemberId> wanted, long now, Effects effects) {
        if (storeCallPending) {
            return data;
        }
        boolean allGranted = wanted.stream().allMatch(peer -> data.isGrantedBy(peer, now));
        boolean changed = allGranted && !wanted.equals(data.peerLists().committed());
        if (changed || data.peerLists().inForce().contains(List.<MemberId>of())) {
            List<MemberId> list = changed ? wanted : data.peerLists().committed();
            writeRow(row, list, now, effects);
            return data.withPeerLists(data.peerLists().withProposed(list));
        }
        if (data.mayGrantUntil() <= now) {
            readRow(now, effects);
        }
        return data;
    }

    private void writeRow(MemberRow row, List<MemberId> peers, long now, Effects effects) {
        MemberRow next = row.withLeasePeers(peers, self + "/lease/" + ++operationCount);
        RowWrite write = new RowWrite(MemberRow.keyOf(self), directory.version(MemberRow.keyOf(self)), next);
        submit(new StoreRequest.Commit(List.of(write)), now, effects);
    }

    private void readRow(long now, Effects effects) {
        submit(new StoreRequest.ReadRow(MemberRow.keyOf(self)), now, effects);
    }

    private void submit(StoreRequest request, long sentAt, Effects effects) {
        storeCallPending = true;
        store.submit(request, sentAt, effects, (reply, now, out) -> {
            storeCallPending = false;
            onStoreResult(reply, sentAt, now, out);
        });
    }

    private void onStoreResult(StoreReply reply, long sentAt, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> sink.onRowWritten(row, now, effects));
            fire(LeaseHolderEvent.ROW_WRITTEN, LeaseHolderInput.storeAnswered(sentAt), now, effects);
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> onRowConfirmed(row, sentAt, now, effects));
        } else if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> onRowConfirmed(row, sentAt, now, effects));
        }
    }

    private void onRowConfirmed(Row row, long sentAt, long now, Effects effects) {
        sink.onRowRead(row, now, effects);
        fire(LeaseHolderEvent.ROW_SHOWN, LeaseHolderInput.storeAnswered(sentAt), now, effects);
    }

    private void fire(LeaseHolderEvent event, LeaseHolderInput input, long now, Effects effects) {
        lease.fire(self, event, input, now, effects);
    }
}
