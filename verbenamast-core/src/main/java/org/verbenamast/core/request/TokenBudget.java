package org.verbenamast.core.request;

/** A budget of extra tries: a share of the first tries, with a small reserve. */
public final class TokenBudget {

    private static final long PARTS_PER_TOKEN = 1_000;

    private final long earned;
    private final long most;
    private long parts;

    /**
     * Makes a budget that holds its reserve.
     *
     * @param perMille how many extra tries a thousand first tries pay for
     * @param reserve how many extra tries may be saved up
     */
    public TokenBudget(long perMille, long reserve) {
        this.earned = perMille;
        this.most = reserve * PARTS_PER_TOKEN;
        this.parts = most;
    }

    /** Adds the share of one first try. */
    public void earn() {
        parts = Math.min(most, parts + earned);
    }

    /**
     * Tells how many extra tries are paid for.
     *
     * @return the tries
     */
    public long left() {
        return parts / PARTS_PER_TOKEN;
    }

    /**
     * Pays for one extra try.
     *
     * @return whether the budget allowed it
     */
    public boolean spend() {
        if (parts < PARTS_PER_TOKEN) {
            return false;
        }
        parts -= PARTS_PER_TOKEN;
        return true;
    }
}
