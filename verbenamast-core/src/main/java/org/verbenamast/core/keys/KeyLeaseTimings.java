package org.verbenamast.core.keys;

import org.verbenamast.core.check.Checks;

/**
 * How long keys may be granted without the store.
 *
 * @param leaseMillis how long a lease lasts from the moment at which its renewal was sent, in milliseconds
 * @param renewMillis the time between renewals, in milliseconds
 * @param retryMillis the pause after a failed call, in milliseconds
 * @param holdMillis how long a backend server holds keys after a heartbeat, in milliseconds
 */
public record KeyLeaseTimings(long leaseMillis, long renewMillis, long retryMillis, long holdMillis) {

    /**
     * A lease of 8.5 s outlasts a store outage of 6 s and lets keys of a lost host move within 10 s; a hold of 4 s
     * outlasts the restart of a node, about 2 s, and a lost heartbeat.
     */
    public static final KeyLeaseTimings DEFAULT = new KeyLeaseTimings(8_500, 2_000, 300, 4_000);

    /** Rate at which two clocks may drift apart, in percent; instances of the platform run up to 2 % slow. */
    private static final long DRIFT_PERCENT = 3;

    private static final long PERCENT = 100;

    /** Checks the fields. */
    public KeyLeaseTimings {
        Checks.positive("leaseMillis", leaseMillis);
        Checks.within("renewMillis", renewMillis, 1, leaseMillis);
        Checks.positive("retryMillis", retryMillis);
        Checks.within("holdMillis", holdMillis, 1, leaseMillis);
    }

    /**
     * Returns how long to wait until a time-out on another clock is certainly over.
     *
     * @param millis the time-out, in milliseconds
     * @return the longer wait, in milliseconds
     */
    public static long surelyOver(long millis) {
        return millis + millis * DRIFT_PERCENT / PERCENT + 1;
    }

    /**
     * Returns the time-out to give to another clock so that it is over by a given time here.
     *
     * @param millis the time left here, in milliseconds
     * @return the shorter time-out, in milliseconds
     */
    public static long surelyWithin(long millis) {
        return millis - millis * DRIFT_PERCENT / PERCENT - 1;
    }
}
