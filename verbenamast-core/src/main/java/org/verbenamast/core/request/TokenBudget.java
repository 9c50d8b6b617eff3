package org.verbenamast.core.request;

/** A budget of extra tries: a share of the first tries, with a small reserve. */
public final class TokenBudget {

    private static final long MILLITOKENS_PER_TOKEN = 1_000;

    private final long millitokensPerDeposit;
    private final long maxMillitokens;
    private long millitokens;

    /**
     * Makes a budget that holds its reserve.
     *
     * @param perMille how many extra tries a thousand first tries pay for
     * @param reserve how many extra tries may be saved up
     */
    public TokenBudget(long perMille, long reserve) {
        this.millitokensPerDeposit = perMille;
        this.maxMillitokens = reserve * MILLITOKENS_PER_TOKEN;
        this.millitokens = maxMillitokens;
    }

    /** Adds the share of one first try. */
    public void deposit() {
        millitokens = Math.min(maxMillitokens, millitokens + millitokensPerDeposit);
    }

    /**
     * Tells how many extra tries are paid for.
     *
     * @return the tries
     */
    public long available() {
        return millitokens / MILLITOKENS_PER_TOKEN;
    }

    /**
     * Pays for one extra try.
     *
     * @return whether the budget allowed it
     */
    public boolean trySpend() {
        if (millitokens < MILLITOKENS_PER_TOKEN) {
            return false;
        }
        millitokens -= MILLITOKENS_PER_TOKEN;
        return true;
    }
}
