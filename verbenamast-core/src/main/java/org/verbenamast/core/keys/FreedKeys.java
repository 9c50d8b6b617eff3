package org.verbenamast.core.keys;

import java.util.Objects;

/**
 * Keys that a backend server has released.
 *
 * @param range the keys
 * @param handover the token with which the next owner takes over their state
 */
public record FreedKeys(KeyRange range, String handover) {

    /** Checks the fields. */
    public FreedKeys {
        Objects.requireNonNull(range, "range");
        Objects.requireNonNull(handover, "handover");
    }
}
