package org.verbenamast.core.store;

import java.util.SplittableRandom;

import org.verbenamast.core.node.Timing;

/**
 * Decides on further attempts: exponential backoff with jitter, and a budget that grows with first attempts and that
 * each further attempt draws on, so that retries never multiply the load on a table service that has trouble.
 */
public final class StoreRetries {

    /** The number of the last attempt of a call that is retried, where the first has 0. */
    public static final int LAST_ATTEMPT = 4;

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long LONGEST_BACKOFF_MILLIS = 2_000;
    private static final double RETRIES_PER_CALL = 0.2;
    private static final double MAX_BUDGET = 10;

    private final SplittableRandom random;
    private final long timeoutNanos;
    private double budget = MAX_BUDGET;

    /**
     * Makes a policy with a full budget.
     *
     * @param timeoutNanos how long to wait for the answer to one attempt, in nanoseconds
     * @param seed the seed of the jitter
     */
    public StoreRetries(long timeoutNanos, long seed) {
        this.timeoutNanos = timeoutNanos;
        this.random = new SplittableRandom(seed);
    }

    long timeoutNanos() {
        return timeoutNanos;
    }

    void countCall() {
        budget = Math.min(MAX_BUDGET, budget + RETRIES_PER_CALL);
    }

    boolean permits(StoreCall call) {
        return call.attempt() < call.lastAttempt() && budget >= 1;
    }

    void countRetry() {
        budget -= 1;
    }

    /** Returns the pause before the next attempt: between half of the backoff and all of it. */
    long backoffNanos(StoreCall call) {
        long millis = Math.min(LONGEST_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << call.attempt());
        long whole = Timing.millisToNanos(millis);
        return whole / 2 + random.nextLong(whole / 2);
    }
}
