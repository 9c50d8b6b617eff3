package org.verbenamast.core.store;

import java.util.SplittableRandom;

import org.verbenamast.core.node.Timing;

/**
 * Decides whether and when a call is attempted again: exponential backoff with jitter, and a budget. First attempts add
 * to the budget and retries consume it, so that retries never multiply the load on a table service that is failing.
 */
public final class StoreRetryPolicy {

    /** The number of the last attempt of a call that may be retried. The first attempt has number 0. */
    public static final int LAST_ATTEMPT = 4;

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;
    private static final double RETRIES_PER_CALL = 0.2;
    private static final double MAX_RETRY_BUDGET = 10;

    private final SplittableRandom random;
    private final long timeoutNanos;
    private double retryBudget = MAX_RETRY_BUDGET;

    /**
     * Creates a policy with a full budget.
     *
     * @param timeoutNanos how long to wait for the reply to one attempt, in nanoseconds
     * @param seed the seed of the jitter
     */
    public StoreRetryPolicy(long timeoutNanos, long seed) {
        this.timeoutNanos = timeoutNanos;
        this.random = new SplittableRandom(seed);
    }

    long timeoutNanos() {
        return timeoutNanos;
    }

    void countCall() {
        retryBudget = Math.min(MAX_RETRY_BUDGET, retryBudget + RETRIES_PER_CALL);
    }

    boolean permits(StoreCall call) {
        return call.attempt() < call.lastAttempt() && retryBudget >= 1;
    }

    void countRetry() {
        retryBudget -= 1;
    }

    /** Returns the delay before the next attempt, which is chosen at random between half the backoff and all of it. */
    long backoffNanos(StoreCall call) {
        long millis = Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << call.attempt());
        long backoff = Timing.millisToNanos(millis);
        return backoff / 2 + random.nextLong(backoff / 2);
    }
}
