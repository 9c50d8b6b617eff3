package org.verbenamast.core.roster;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.keys.FreedKeys;
import org.verbenamast.core.keys.KeyReport;

/**
 * The periodic report of a backend server to the node beside it.
 *
 * @param incarnation the incarnation that sends the heartbeat
 * @param service the server's service
 * @param address where the server accepts requests, as host and port
 * @param slots the maximum number of requests that it runs at the same time
 * @param state whether it accepts new requests
 * @param coldMillis how long it stays cold, that is, slow after its start, in milliseconds
 * @param sequence a number that grows with each heartbeat of this incarnation
 * @param keys what it reports of its keys, or empty where it reports nothing, as servers of services without keys may
 */
public record Heartbeat(
        ServerIncarnation incarnation,
        String service,
        String address,
        int slots,
        ServerState state,
        long coldMillis,
        long sequence,
        Optional<KeyReport> keys) {

    /** Longest time for which a server may say that it stays cold, in milliseconds; an hour. */
    private static final long MAX_COLD_MILLIS = 3_600_000;

    /** Checks the fields. The time and the sequence may be 0. */
    public Heartbeat {
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.notBlank("service", service);
        Checks.notBlank("address", address);
        Checks.positive("slots", slots);
        Objects.requireNonNull(state, "state");
        Checks.within("coldMillis", coldMillis, 0, MAX_COLD_MILLIS);
        Checks.notNegative("sequence", sequence);
        Objects.requireNonNull(keys, "keys");
    }

    /**
     * Returns the keys that the server has released since its last acknowledged heartbeat.
     *
     * @return the keys; empty where it reports none
     */
    public List<FreedKeys> freed() {
        return keys.map(KeyReport::freed).orElse(List.of());
    }
}
