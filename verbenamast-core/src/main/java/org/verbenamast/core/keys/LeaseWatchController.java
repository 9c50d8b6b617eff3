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

/** The leases of servers that seem lost, each watched until nobody can grant keys under it any more. */
final class LeaseWatchController {

    static final Vocabulary<LeaseWatchEvent, LeaseWatchGuard, LeaseWatchAction, LeaseWatchTimer, LeaseWatchTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseWatchEvent.class,
                    LeaseWatchGuard.class,
                    LeaseWatchAction.class,
                    LeaseWatchTimer.class,
                    LeaseWatchTag.class);

    private final ChartInstances<ServerIncarnation, LeaseWatchEvent, LeaseWatchData, LeaseWatchInput> watched;
    private final Map<Long, ServerIncarnation> tickets = new HashMap<>();
    private final long leaseMillis;
    private long lastTicket;

    LeaseWatchController(long leaseMillis, TransitionListener listener) {
        this.leaseMillis = leaseMillis;
        this.watched = new ChartInstances<>(
                ChartReader.bundled("lease-watch", VOCABULARY), event -> LeaseWatchInput.NONE, listener);
    }

    /** Watches a lease; one whose server has ended is over as soon as its row's version is known. */
    void watch(ServerIncarnation life, boolean ended, long now, Effects effects) {
        if (watched.find(life) == null) {
            LeaseWatchData data = new LeaseWatchData(life, leaseMillis, ended, 0, ++lastTicket);
            tickets.put(lastTicket, life);
            watched.begin(life, data, now);
            effects.emit(data.read());
        } else if (ended && !watched.find(life).data().ended()) {
            watched.fire(life, LeaseWatchEvent.ENDED, LeaseWatchInput.NONE, now, effects);
        }
    }

    /** Stops watching all leases but these. */
    void retain(Set<ServerIncarnation> suspects) {
        for (ServerIncarnation life : List.copyOf(tickets.values())) {
            if (!suspects.contains(life)) {
                tickets.remove(watched.find(life).data().ticket());
                watched.remove(life);
            }
        }
    }

    /** Returns the condition under which keys of a lapsed lease may be given to others; it ends the lease as well. */
    Optional<RowChange> lapsed(ServerIncarnation life) {
        Instance<LeaseWatchData> instance = watched.find(life);
        if (instance == null || !instance.hasTag(LeaseWatchTag.LAPSED)) {
            return Optional.empty();
        }
        return Optional.of(
                new RowChange(KeyLeaseData.leaseRow(life), instance.data().version(), Optional.empty()));
    }

    void stored(long ticket, StoreResult result, long now, Effects effects) {
        ServerIncarnation life = tickets.get(ticket);
        if (life == null) {
            return;
        }
        if (result instanceof StoreResult.Read read && !read.rows().isEmpty()) {
            LeaseWatchInput input = new LeaseWatchInput(read.rows().get(0).expectedVersion());
            watched.fire(life, LeaseWatchEvent.READ, input, now, effects);
        } else {
            watched.fire(life, LeaseWatchEvent.FAILED, LeaseWatchInput.NONE, now, effects);
        }
    }

    /** Takes a lease's row that came with a conflict. */
    void seen(StoredRow lease, long now, Effects effects) {
        for (ServerIncarnation life : List.copyOf(tickets.values())) {
            boolean same = KeyLeaseData.leaseRow(life).equals(lease.ref());
            if (same && watched.find(life).data().version() != lease.expectedVersion()) {
                watched.fire(life, LeaseWatchEvent.RENEWED, new LeaseWatchInput(lease.expectedVersion()), now, effects);
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
