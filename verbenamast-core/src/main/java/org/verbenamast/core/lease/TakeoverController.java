package org.verbenamast.core.lease;

import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** Performs the take-overs by which this node ends the incarnations of holders that no longer renew their leases. */
final class TakeoverController {

    static final Vocabulary<TakeoverEvent, TakeoverGuard, TakeoverAction, TakeoverTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    TakeoverEvent.class, TakeoverGuard.class, TakeoverAction.class, TakeoverTimer.class, NoTag.class);

    private final MemberId self;
    private final LeaseTimings timings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final OrphanedHolders orphans;
    private final ChartInstances<MemberId, TakeoverEvent, TakeoverData, TakeoverInput> takeovers;
    private long operationCount;

    TakeoverController(
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
        this.orphans = new OrphanedHolders(self, directory);
        Chart<TakeoverEvent, TakeoverData, TakeoverInput> chart = ChartReader.bundled("takeover", VOCABULARY);
        this.takeovers = new ChartInstances<>(chart, event -> TakeoverInput.NONE, listener);
    }

    void begin(MemberId holder, long now, Effects effects) {
        if (takeovers.find(holder) == null && !directory.hasEnded(holder) && !holder.equals(self)) {
            takeovers.begin(holder, new TakeoverData(holder, 0, List.of(), now, Map.of(), this), now);
            takeovers.fire(holder, TakeoverEvent.BEGUN, TakeoverInput.NONE, now, effects);
        }
    }

    /** Begins the take-over from the holders that this node is responsible for although it is not their lease peer. */
    void beginForOrphans(long now, Effects effects) {
        orphans.assigned().forEach(holder -> begin(holder, now, effects));
    }

    void onLeaseGranted(MemberId holder, long now, Effects effects) {
        takeovers.fire(holder, TakeoverEvent.HOLDER_HEARD, TakeoverInput.NONE, now, effects);
    }

    void onHolderEnded(MemberId holder, long now, Effects effects) {
        takeovers.fire(holder, TakeoverEvent.HOLDER_ENDED, TakeoverInput.NONE, now, effects);
    }

    void onSealReply(MemberId peer, PeerMessage.SealReply reply, long now, Effects effects) {
        if (reply.sealed()) {
            long expiry = now + ClockDrift.safeWaitNanos(Math.max(0, reply.remainingNanos()));
            TakeoverInput input = TakeoverInput.sealed(peer, expiry);
            takeovers.fire(reply.holder(), TakeoverEvent.SEAL_ANSWERED, input, now, effects);
        }
    }

    void advance(long now, Effects effects) {
        takeovers.advance(now, effects);
    }

    long nextDue() {
        return takeovers.nextDue();
    }

    LeaseTimings timings() {
        return timings;
    }

    boolean mayEnd(MemberId holder, List<MemberId> peers) {
        boolean alive = directory.member(self) != null && !directory.hasEnded(self);
        return alive && (peers.contains(self) || orphans.isAssigned(holder));
    }

    void readRow(TakeoverData data, long now, Effects effects) {
        MemberId holder = data.holder();
        StoreRequest request = new StoreRequest.ReadRow(MemberRow.keyOf(holder));
        store.submit(request, now, effects, (reply, at, out) -> onReadResult(holder, reply, at, out));
    }

    private void onReadResult(MemberId holder, StoreReply reply, long now, Effects effects) {
        if (!(reply instanceof StoreReply.RowsRead read) || read.rows().isEmpty()) {
            takeovers.fire(holder, TakeoverEvent.NOT_DONE, TakeoverInput.NONE, now, effects);
            return;
        }
        Row row = read.rows().get(0);
        sink.onRowRead(row, now, effects);
        MemberRow member = (MemberRow) row.value();
        List<MemberId> peers = orphans.isPredecessor(member) ? List.of() : member.leasePeers();
        TakeoverInput input = TakeoverInput.row(row.version(), peers);
        takeovers.fire(holder, TakeoverEvent.ROW_READ, input, now, effects);
    }

    TakeoverData requestSeals(TakeoverData data, long now, Effects effects) {
        TakeoverData next = data;
        for (MemberId peer : data.leasePeers()) {
            if (directory.hasEnded(peer)) {
                next = next.withSeal(peer, now + timings.longestGrantAfterEnd());
            } else if (!peer.equals(data.holder()) && !data.expiryByPeer().containsKey(peer)) {
                effects.emit(new Effect.SendToPeer(peer, new PeerMessage.Seal(peer, data.holder())));
            }
        }
        return next;
    }

    /**
     * Ends the holder in one transaction with a write of this node's own row. If two members try to end each other,
     * only one succeeds, and a member that has ended cannot end another.
     */
    void endHolder(TakeoverData data, long now, Effects effects) {
        MemberId holder = data.holder();
        String operation = self + "/takeover/" + ++operationCount;
        MemberRow ended = directory.member(holder).withStatus(MemberStatus.ENDED, operation);
        MemberRow own = directory.member(self);
        RowWrite endHolder = new RowWrite(MemberRow.keyOf(holder), data.version(), ended);
        RowKey ownKey = MemberRow.keyOf(self);
        RowWrite confirmOwn = new RowWrite(ownKey, directory.version(ownKey), own.withStatus(own.status(), operation));
        StoreRequest commit = new StoreRequest.Commit(List.of(endHolder, confirmOwn));
        store.submit(commit, now, effects, (reply, at, out) -> onEndResult(holder, reply, at, out));
    }

    private void onEndResult(MemberId holder, StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            committed.rows().forEach(row -> sink.onRowWritten(row, now, effects));
        } else if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> sink.onRowRead(row, now, effects));
        }
        takeovers.fire(holder, TakeoverEvent.NOT_DONE, TakeoverInput.NONE, now, effects);
    }
}
