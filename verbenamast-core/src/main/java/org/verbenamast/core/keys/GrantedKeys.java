package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A range of keys granted to a backend server.
 *
 * @param range the keys
 * @param epoch the fencing token of the grant
 * @param handover the token with which the server takes over the previous owner's state; empty if there is none
 */
public record GrantedKeys(KeyRange range, long epoch, String handover) {

    /** Checks the fields. */
    public GrantedKeys {
        Objects.requireNonNull(range, "range");
        Checks.positive("epoch", epoch);
        Objects.requireNonNull(handover, "handover");
    }
}
