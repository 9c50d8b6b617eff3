package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Keys that a backend server says it holds.
 *
 * @param range the keys
 * @param epoch the fencing token under which it holds them
 */
public record HeldKeys(KeyRange range, long epoch) {

    /** Checks the fields. */
    public HeldKeys {
        Objects.requireNonNull(range, "range");
        Checks.notNegative("epoch", epoch);
    }
}
