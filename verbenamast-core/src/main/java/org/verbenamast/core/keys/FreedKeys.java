package org.verbenamast.core.keys;

import java.util.Objects;

/**
 * Keys that a backend server has given back.
 *
 * @param range the keys
 * @param handover the token that lets the next holder take over their state
 */
public record FreedKeys(KeyRange range, String handover) {

    /** Checks the fields. */
    public FreedKeys {
        Objects.requireNonNull(range, "range");
        Objects.requireNonNull(handover, "handover");
    }
}
