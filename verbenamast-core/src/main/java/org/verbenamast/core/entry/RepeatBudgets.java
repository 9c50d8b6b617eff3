package org.verbenamast.core.entry;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.request.TokenBudget;

/**
 * What pays for sending requests to a second server, for each service. A hedge draws on the same budget as the repeats
 * of requests that were rejected or failed, and only while the budget is full: it never takes what a repeat needs.
 */
final class RepeatBudgets {

    /** Sends to a second server that a thousand requests pay for; half of what the platform allows. */
    private static final long REPEATS_PER_MILLE = 100;
    /** Sends to a second server that are paid for at start; all nodes together stay below the platform's tolerance. */
    private static final long REPEAT_RESERVE = 2;
    /** Hedges that may be sent in a row. */
    private static final long HEDGE_RESERVE = 2;

    private final long hedgesPerMille;
    private final Map<String, Budget> budgets = new HashMap<>();

    private record Budget(TokenBudget repeats, TokenBudget hedges) {}

    /** Creates full budgets of repeats, and empty ones of hedges, for which requests pay as configured. */
    RepeatBudgets(long hedgesPerMille) {
        this.hedgesPerMille = hedgesPerMille;
    }

    private Budget budget(String service) {
        return budgets.computeIfAbsent(
                service,
                name -> new Budget(
                        new TokenBudget(REPEATS_PER_MILLE, REPEAT_RESERVE),
                        TokenBudget.empty(hedgesPerMille, HEDGE_RESERVE)));
    }

    /** Records a caller's request. */
    void deposit(String service) {
        budget(service).repeats().deposit();
        budget(service).hedges().deposit();
    }

    /** Pays for a repeat and returns whether the budget allowed it. */
    boolean trySpend(String service) {
        return budget(service).repeats().trySpend();
    }

    /** Pays for a hedge and returns whether the budgets allowed it. */
    boolean trySpendHedge(String service) {
        Budget budget = budget(service);
        return budget.repeats().available() >= REPEAT_RESERVE
                && budget.hedges().trySpend()
                && budget.repeats().trySpend();
    }

    /** Returns how many repeats are still paid for, summed over all services. */
    long available() {
        return budgets.values().stream()
                .mapToLong(budget -> budget.repeats().available())
                .sum();
    }
}
