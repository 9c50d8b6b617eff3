package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * The load that a backend server reports with an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait in its own queue
 * @param slots the requests that it can run at once
 * @param pacePercent how long work takes on its host at this moment, in percent of the usual time
 */
public record ServerLoad(int running, int waiting, int slots, int pacePercent) {

    /** The pace of a host that is not slowed down, in percent. */
    public static final int USUAL_PACE_PERCENT = 100;

    /** Checks the numbers. */
    public ServerLoad {
        Checks.notNegative("running", running);
        Checks.notNegative("waiting", waiting);
        Checks.positive("slots", slots);
        Checks.positive("pacePercent", pacePercent);
    }

    /**
     * Returns whether no slot is free.
     *
     * @return whether as many requests run as the server has slots
     */
    public boolean isFull() {
        return running >= slots;
    }
}
