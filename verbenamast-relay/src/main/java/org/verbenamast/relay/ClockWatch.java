package org.verbenamast.relay;

import org.verbenamast.core.node.Timing;

/**
 * Compares the time of day with the monotonic clock. A host that is suspended stops the monotonic clock, so that leases
 * seem to last longer than they do; the time of day then jumps ahead. A jump for another reason does no harm.
 */
final class ClockWatch {

    private final long mostMillis;
    private long offset = offset();

    ClockWatch(long mostMillis) {
        this.mostMillis = mostMillis;
    }

    private static long offset() {
        return System.currentTimeMillis() - System.nanoTime() / Timing.NANOS_PER_MILLI;
    }

    /** Tells whether the host may have been suspended since the last look. */
    boolean suspended() {
        long now = offset();
        boolean jumped = now - offset > mostMillis;
        offset = now;
        return jumped;
    }
}
