package org.verbenamast.relay;

import org.verbenamast.core.node.Timing;

/**
 * Compares the time of day with the monotonic clock. A host that is suspended stops the monotonic clock, so that leases
 * seem to last longer than they do; the time of day then jumps ahead. A jump for another reason does no harm.
 */
final class SuspensionDetector {

    private final long thresholdMillis;
    private long offsetMillis = offsetMillis();

    SuspensionDetector(long mostMillis) {
        this.thresholdMillis = mostMillis;
    }

    private static long offsetMillis() {
        return System.currentTimeMillis() - System.nanoTime() / Timing.NANOS_PER_MILLI;
    }

    /** Tells whether the host may have been suspended since the last look. */
    boolean maybeSuspended() {
        long now = offsetMillis();
        boolean jumped = now - offsetMillis > thresholdMillis;
        offsetMillis = now;
        return jumped;
    }
}
