package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.roster.ServerLife;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;

/** The leases of servers that seem lost, each watched until nobody can grant keys under it any more. */
final class LeaseWatch {

    static final Vocabulary<WatchEvent, WatchGuard, WatchAction, WatchTimer, WatchTag> VOCABULARY =
            new Vocabulary<>(WatchEvent.class, WatchGuard.class, WatchAction.class, WatchTimer.class, WatchTag.class);

    private final Population<ServerLife, WatchEvent, WatchData, WatchInput> watched;
    private final Map<Long, ServerLife> tickets = new HashMap<>();
    private final long leaseMillis;
    private long lastTicket;

    LeaseWatch(long leaseMillis, TransitionListener listener) {
        this.leaseMillis = leaseMillis;
        this.watched =
                new Population<>(ChartReader.bundled("lease-watch", VOCABULARY), event -> WatchInput.NONE, listener);
    }

    /** Watches a lease; one whose server has ended is over as soon as its row's version is known. */
    void watch(ServerLife life, boolean ended, long now, Effects effects) {
        if (watched.find(life) == null) {
            WatchData data = new WatchData(life, leaseMillis, ended, 0, ++lastTicket);
            tickets.put(lastTicket, life);
            watched.begin(life, data, now);
            effects.emit(data.read());
        } else if (ended && !watched.find(life).data().ended()) {
            watched.fire(life, WatchEvent.ENDED, WatchInput.NONE, now, effects);
        }
    }

    /** Stops watching all leases but these. */
    void retain(Set<ServerLife> suspects) {
        for (ServerLife life : List.copyOf(tickets.values())) {
            if (!suspects.contains(life)) {
                tickets.remove(watched.find(life).data().ticket());
                watched.remove(life);
            }
        }
    }

    /** Returns the condition under which keys of a lapsed lease may be given to others; it ends the lease as well. */
    Optional<RowChange> lapsed(ServerLife life) {
        Instance<WatchData> instance = watched.find(life);
        if (instance == null || !instance.is(WatchTag.LAPSED)) {
            return Optional.empty();
        }
        return Optional.of(
                new RowChange(TenureData.leaseRow(life), instance.data().version(), Optional.empty()));
    }

    void stored(long ticket, StoreResult result, long now, Effects effects) {
        ServerLife life = tickets.get(ticket);
        if (life == null) {
            return;
        }
        if (result instanceof StoreResult.Read read && !read.rows().isEmpty()) {
            WatchInput input = new WatchInput(read.rows().get(0).expectedVersion());
            watched.fire(life, WatchEvent.READ, input, now, effects);
        } else {
            watched.fire(life, WatchEvent.FAILED, WatchInput.NONE, now, effects);
        }
    }

    /** Takes a lease's row that came with a conflict. */
    void seen(StoredRow lease, long now, Effects effects) {
        for (ServerLife life : List.copyOf(tickets.values())) {
            boolean same = TenureData.leaseRow(life).equals(lease.ref());
            if (same && watched.find(life).data().version() != lease.expectedVersion()) {
                watched.fire(life, WatchEvent.RENEWED, new WatchInput(lease.expectedVersion()), now, effects);
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
