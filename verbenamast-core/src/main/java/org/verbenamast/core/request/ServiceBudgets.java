package org.verbenamast.core.request;

import org.verbenamast.core.hedge.QuantileEstimate;

/** The retry budget, the hedge budget and the latency quantile of one service at this node. */
final class ServiceBudgets {

    private static final long RETRIES_PER_MILLE = 200;
    private static final long RETRY_RESERVE = 100;
    private static final long HEDGES_PER_MILLE = 45;
    private static final long HEDGE_RESERVE = 20;
    private static final double HEDGE_QUANTILE = 0.98;

    private final TokenBudget retries = new TokenBudget(RETRIES_PER_MILLE, RETRY_RESERVE);
    private final TokenBudget hedges = new TokenBudget(HEDGES_PER_MILLE, HEDGE_RESERVE);
    private final QuantileEstimate latencyQuantile = new QuantileEstimate(HEDGE_QUANTILE);

    TokenBudget retries() {
        return retries;
    }

    TokenBudget hedges() {
        return hedges;
    }

    QuantileEstimate latencyQuantile() {
        return latencyQuantile;
    }

    void onFirstAttempt() {
        retries.deposit();
        hedges.deposit();
    }
}
