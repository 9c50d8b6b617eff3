package org.verbenamast.core.stop;

/**
 * The data of chart {@code stop}, the planned stop of a node.
 *
 * @param stoppedAt the monotonic time at which the node was told to stop, in nanoseconds
 * @param graceNanos the time after which the process is killed, in nanoseconds; 0 while no stop is planned
 */
public record StopData(long stoppedAt, long graceNanos) {

    static StopData initial() {
        return new StopData(0, 0);
    }

    /** Returns the monotonic time at which the node exits at the latest, in nanoseconds. */
    long exitAt() {
        return stoppedAt + Math.max(0, graceNanos - StopTimer.EXIT_MARGIN_NANOS);
    }

    /** Returns the monotonic time by which every request has an answer, in nanoseconds. */
    long lastAnswerAt() {
        return Math.max(stoppedAt, exitAt() - StopTimer.SENDING_NANOS);
    }
}
