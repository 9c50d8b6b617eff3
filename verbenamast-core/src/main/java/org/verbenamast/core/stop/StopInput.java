package org.verbenamast.core.stop;

import org.verbenamast.core.check.Checks;

/**
 * The input of an event of chart {@code stop}, the planned stop of a node.
 *
 * @param graceNanos the grace period of the stop, in nanoseconds; 0 for other events
 * @param isIdle whether no request is open; false for other events than a review
 */
public record StopInput(long graceNanos, boolean isIdle) {

    static final StopInput NONE = new StopInput(0, false);

    /** Checks that the period is not negative. */
    public StopInput {
        Checks.notNegative("graceNanos", graceNanos);
    }
}
