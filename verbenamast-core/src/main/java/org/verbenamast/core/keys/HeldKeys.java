package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Keys that a backend server reports as granted to it.
 *
 * @param range the keys
 * @param epoch the fencing token under which they were granted
 */
public record HeldKeys(KeyRange range, long epoch) {

    /** Checks the fields. */
    public HeldKeys {
        Objects.requireNonNull(range, "range");
        Checks.notNegative("epoch", epoch);
    }
}
