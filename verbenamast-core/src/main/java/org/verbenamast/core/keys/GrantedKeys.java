package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Keys that a backend server is to hold.
 *
 * @param range the keys
 * @param epoch the fencing token
 * @param handover the token of the last holder, or an empty text
 */
public record GrantedKeys(KeyRange range, long epoch, String handover) {

    /** Checks the fields. */
    public GrantedKeys {
        Objects.requireNonNull(range, "range");
        Checks.positive("epoch", epoch);
        Objects.requireNonNull(handover, "handover");
    }
}
