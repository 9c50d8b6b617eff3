package org.verbenamast.core.roster;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.keys.FreedKeys;
import org.verbenamast.core.keys.HeldKeys;

/**
 * What a backend server says of itself from time to time.
 *
 * @param incarnation the run that speaks
 * @param service the server's service
 * @param address where the server takes requests, as host and port
 * @param slots the requests that it runs at once
 * @param state whether it wants new work
 * @param coldMillis how long it stays slow after its start, in milliseconds
 * @param sequence a number that grows with each heartbeat of this run
 * @param held the keys that it holds or still works on
 * @param freed the keys that it gave back since its last acknowledged heartbeat
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

    /** Checks the fields and copies the lists. */
    public Heartbeat {
        Objects.requireNonNull(incarnation, "life");
        Checks.notBlank("service", service);
        Checks.notBlank("address", address);
        Checks.positive("slots", slots);
        Objects.requireNonNull(state, "state");
        Checks.notNegative("coldMillis", coldMillis);
        Checks.notNegative("sequence", sequence);
        held = List.copyOf(held);
        freed = List.copyOf(freed);
    }
}
