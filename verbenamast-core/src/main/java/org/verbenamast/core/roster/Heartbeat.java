package org.verbenamast.core.roster;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.keys.FreedKeys;
import org.verbenamast.core.keys.HeldKeys;

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
 * @param held the keys that are granted to it or that it still processes requests for
 * @param freed the keys that it has released since its last acknowledged heartbeat
 */
public record Heartbeat(
        ServerIncarnation incarnation,
        String service,
        String address,
        int slots,
        ServerState state,
        long coldMillis,
        long sequence,
        List<HeldKeys> held,
        List<FreedKeys> freed) {

    /** Longest time for which a server may say that it stays cold, in milliseconds; an hour. */
    private static final long MAX_COLD_MILLIS = 3_600_000;

    /** Checks the fields and copies the lists. The time and the sequence may be 0. */
    public Heartbeat {
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.notBlank("service", service);
        Checks.notBlank("address", address);
        Checks.positive("slots", slots);
        Objects.requireNonNull(state, "state");
        Checks.within("coldMillis", coldMillis, 0, MAX_COLD_MILLIS);
        Checks.notNegative("sequence", sequence);
        held = List.copyOf(held);
        freed = List.copyOf(freed);
    }
}
