package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;

/**
 * Watches the key leases for servers that are suspected to be lost, each until no node can grant keys under it any
 * longer.
 */
final class LeaseWatchController {

    static final Vocabulary<LeaseWatchEvent, LeaseWatchGuard, LeaseWatchAction, LeaseWatchTimer, LeaseWatchTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseWatchEvent.class,
                    LeaseWatchGuard.class,
                    LeaseWatchAction.class,
                    LeaseWatchTimer.class,
                    LeaseWatchTag.class);

    private final ChartInstances<ServerIncarnation, LeaseWatchEvent, LeaseWatchData, LeaseWatchInput> watched;
    private final Map<Long, ServerIncarnation> incarnationsByCallId = new HashMap<>();
    private final long leaseMillis;
    private long lastCallId;

    LeaseWatchController(long leaseMillis, TransitionListener listener) {
        this.leaseMillis = leaseMillis;
        this.watched = new ChartInstances<>(
                ChartReader.bundled("lease-watch", VOCABULARY), event -> LeaseWatchInput.NONE, listener);
    }

    /**
     * Watches the lease for a server incarnation. If the server has ended, the lease counts as expired as soon as the
     * version of its row is known.
     */
    void watch(ServerIncarnation incarnation, boolean ended, long now, Effects effects) {
        if (watched.find(incarnation) == null) {
            LeaseWatchData data = new LeaseWatchData(incarnation, leaseMillis, ended, 0, ++lastCallId);
            incarnationsByCallId.put(lastCallId, incarnation);
            watched.begin(incarnation, data, now);
            effects.emit(data.readEffect());
        } else if (ended && !watched.find(incarnation).data().ended()) {
            watched.fire(incarnation, LeaseWatchEvent.ENDED, LeaseWatchInput.NONE, now, effects);
        }
    }

    /** Stops watching the leases for all but the given server incarnations. */
    void retain(Set<ServerIncarnation> suspects) {
        for (ServerIncarnation incarnation : List.copyOf(incarnationsByCallId.values())) {
            if (!suspects.contains(incarnation)) {
                incarnationsByCallId.remove(watched.find(incarnation).data().callId());
                watched.remove(incarnation);
            }
        }
    }

    /**
     * Returns the deletion of the row of a lapsed lease; empty if the lease may still be valid. Keys may be assigned to
     * other servers only in the transaction that contains this change: it fails if the lease was renewed, and ends the
     * lease otherwise.
     */
    Optional<RowChange> deletionIfLapsed(ServerIncarnation incarnation) {
        Instance<LeaseWatchData> instance = watched.find(incarnation);
        if (instance == null || !instance.hasTag(LeaseWatchTag.LAPSED)) {
            return Optional.empty();
        }
        return Optional.of(new RowChange(
                KeyLeaseData.leaseRow(incarnation), instance.data().version(), Optional.empty()));
    }

    void onStoreResult(long callId, StoreResult result, long now, Effects effects) {
        ServerIncarnation incarnation = incarnationsByCallId.get(callId);
        if (incarnation == null) {
            return;
        }
        if (result instanceof StoreResult.Read read && !read.rows().isEmpty()) {
            LeaseWatchInput input = new LeaseWatchInput(read.rows().get(0).expectedVersion());
            watched.fire(incarnation, LeaseWatchEvent.READ, input, now, effects);
        } else {
            watched.fire(incarnation, LeaseWatchEvent.FAILED, LeaseWatchInput.NONE, now, effects);
        }
    }

    /** Handles the row of a lease that the store returned with a conflict. */
    void onLeaseRow(StoredRow lease, long now, Effects effects) {
        for (ServerIncarnation incarnation : List.copyOf(incarnationsByCallId.values())) {
            boolean same = KeyLeaseData.leaseRow(incarnation).equals(lease.ref());
            if (same && watched.find(incarnation).data().version() != lease.expectedVersion()) {
                watched.fire(
                        incarnation,
                        LeaseWatchEvent.RENEWED,
                        new LeaseWatchInput(lease.expectedVersion()),
                        now,
                        effects);
            }
        }
    }

    void advance(long now, Effects effects) {
        watched.advance(now, effects);
    }

    long nextDue() {
        return watched.nextDue();
    }
}
