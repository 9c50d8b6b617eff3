package org.verbenamast.core.keys;

import java.util.List;

import org.verbenamast.core.check.Checks;

/**
 * Everything that a backend server is to hold.
 *
 * @param keys the keys
 * @param durationMillis for how long, by the server's clock from the moment at which it sent its heartbeat
 */
public record KeyGrant(List<GrantedKeys> keys, long durationMillis) {

    /** Checks the time and copies the list. */
    public KeyGrant {
        keys = List.copyOf(keys);
        Checks.positive("holdMillis", durationMillis);
    }
}
