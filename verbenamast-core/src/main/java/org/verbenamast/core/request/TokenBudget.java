package org.verbenamast.core.request;

/** A token bucket for extra attempts. A first attempt deposits part of a token; an extra attempt spends a token. */
public final class TokenBudget {

    private static final long MILLITOKENS_PER_TOKEN = 1_000;

    private final long millitokensPerDeposit;
    private final long maxMillitokens;
    private long millitokens;

    /**
     * Creates a full budget.
     *
     * @param perMille the number of extra attempts per thousand first attempts
     * @param reserve the capacity of the bucket, in extra attempts
     */
    public TokenBudget(long perMille, long reserve) {
        this.millitokensPerDeposit = perMille;
        this.maxMillitokens = reserve * MILLITOKENS_PER_TOKEN;
        this.millitokens = maxMillitokens;
    }

    /**
     * Creates an empty budget, which never pays for more than its share of first attempts.
     *
     * @param perMille the number of extra attempts per thousand first attempts
     * @param reserve the capacity of the bucket, in extra attempts
     * @return the budget
     */
    public static TokenBudget empty(long perMille, long reserve) {
        TokenBudget budget = new TokenBudget(perMille, reserve);
        budget.millitokens = 0;
        return budget;
    }

    /** Deposits the share of one first attempt, up to the capacity. */
    public void deposit() {
        millitokens = Math.min(maxMillitokens, millitokens + millitokensPerDeposit);
    }

    /**
     * Returns how many extra attempts the budget allows at present.
     *
     * @return the number of whole tokens
     */
    public long available() {
        return millitokens / MILLITOKENS_PER_TOKEN;
    }

    /**
     * Spends one token if one is available.
     *
     * @return whether the budget allows the extra attempt
     */
    public boolean trySpend() {
        if (millitokens < MILLITOKENS_PER_TOKEN) {
            return false;
        }
        millitokens -= MILLITOKENS_PER_TOKEN;
        return true;
    }
}
