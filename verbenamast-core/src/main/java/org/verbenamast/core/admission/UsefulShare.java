package org.verbenamast.core.admission;

/**
 * The share of dispatched requests that a server answers usefully, as a moving average. Answers the load of a server
 * that rejects or fails requests although it has room: it is idle by all reports, and would attract more than others.
 */
final class UsefulShare {

    /** Weight of a new outcome, as a ratio; the average covers about the last ten requests. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Smallest share that is assumed, so that expected times stay finite. */
    private static final double MIN_SHARE = 0.1;

    private double share = 1;

    void record(ServerOutcome outcome) {
        share += SMOOTHING_FACTOR * ((outcome.isUseful() ? 1 : 0) - share);
    }

    /** Returns how many requests have to be sent, on average, until one is answered usefully; at least 1. */
    double sendsPerAnswer() {
        return 1 / Math.max(MIN_SHARE, share);
    }
}
