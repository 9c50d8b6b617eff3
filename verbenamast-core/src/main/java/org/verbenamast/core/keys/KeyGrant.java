package org.verbenamast.core.keys;

import java.util.List;

import org.verbenamast.core.check.Checks;

/**
 * All keys granted to a backend server. A grant replaces the server's previous one.
 *
 * @param keys the granted ranges
 * @param durationMillis the grant duration in milliseconds, counted on the server's clock from when it sent its
 *     heartbeat
 */
public record KeyGrant(List<GrantedKeys> keys, long durationMillis) {

    /** Checks the duration and copies the list. */
    public KeyGrant {
        keys = List.copyOf(keys);
        Checks.positive("durationMillis", durationMillis);
    }
}
