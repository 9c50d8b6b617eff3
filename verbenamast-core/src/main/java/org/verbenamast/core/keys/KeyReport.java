package org.verbenamast.core.keys;

import java.util.List;

/**
 * What a backend server of a keyed service reports of its keys with each heartbeat.
 *
 * @param held the keys that are granted to it or that it still processes requests for
 * @param freed the keys that it has released since its last acknowledged heartbeat
 */
public record KeyReport(List<HeldKeys> held, List<FreedKeys> freed) {

    /** Copies the lists. */
    public KeyReport {
        held = List.copyOf(held);
        freed = List.copyOf(freed);
    }
}
