package org.verbenamast.relay;

import org.verbenamast.core.node.Timing;

/**
 * Detects that the host may have been suspended, by comparing the wall clock with the monotonic clock. The monotonic
 * clock stops while a host is suspended, so leases seem to last longer than they do; the wall clock jumps ahead
 * afterwards. False alarms, for example after a clock adjustment, are harmless.
 */
final class SuspensionDetector {

    private final long thresholdMillis;
    private long offsetMillis = offsetMillis();

    SuspensionDetector(long thresholdMillis) {
        this.thresholdMillis = thresholdMillis;
    }

    private static long offsetMillis() {
        return System.currentTimeMillis() - System.nanoTime() / Timing.NANOS_PER_MILLI;
    }

    /** Returns whether the wall clock has gained more than the threshold on the monotonic clock since the last call. */
    boolean maybeSuspended() {
        long current = offsetMillis();
        boolean jumped = current - offsetMillis > thresholdMillis;
        offsetMillis = current;
        return jumped;
    }
}
