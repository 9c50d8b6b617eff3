package org.verbenamast.core.keys;

import org.verbenamast.core.check.Checks;

/**
 * The durations of key leases and of the key grants made under them. They bound how long keys can be granted while the
 * store is unavailable.
 *
 * @param leaseMillis the duration of a lease from when its renewal was sent, in milliseconds
 * @param renewMillis the time between renewals, in milliseconds
 * @param retryMillis the pause after a failed call, in milliseconds
 * @param grantMillis how long keys remain granted to a backend server after it sent a heartbeat, in milliseconds
 */
public record KeyLeaseTimings(long leaseMillis, long renewMillis, long retryMillis, long grantMillis) {

    /**
     * A lease of 8.5 s outlasts a store outage of 6 s and lets the keys of a lost host move within 10 s. A grant of 4 s
     * outlasts the restart of a node, which takes about 2 s, and a lost heartbeat.
     */
    public static final KeyLeaseTimings DEFAULT = new KeyLeaseTimings(8_500, 2_000, 300, 4_000);

    /** Assumed maximum drift between two clocks, in percent; clocks on the platform's instances are up to 2 % slow. */
    private static final long DRIFT_PERCENT = 3;

    private static final long PERCENT = 100;

    /** Checks the fields. */
    public KeyLeaseTimings {
        Checks.positive("leaseMillis", leaseMillis);
        Checks.within("renewMillis", renewMillis, 1, leaseMillis);
        Checks.positive("retryMillis", retryMillis);
        Checks.within("grantMillis", grantMillis, 1, leaseMillis);
    }

    /**
     * Returns how long to wait here until a timeout on another clock has certainly elapsed.
     *
     * @param millis the timeout on the other clock, in milliseconds
     * @return the wait on this clock, in milliseconds; longer than the timeout
     */
    public static long plusDrift(long millis) {
        return millis + millis * DRIFT_PERCENT / PERCENT + 1;
    }

    /**
     * Returns the timeout to set on another clock so that it certainly elapses within a given time here.
     *
     * @param millis the time left on this clock, in milliseconds
     * @return the timeout on the other clock, in milliseconds; shorter than the time left
     */
    public static long minusDrift(long millis) {
        return millis - millis * DRIFT_PERCENT / PERCENT - 1;
    }
}
