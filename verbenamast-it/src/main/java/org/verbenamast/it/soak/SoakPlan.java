package org.verbenamast.it.soak;

import org.verbenamast.core.check.Checks;

/**
 * What a soak is to do.
 *
 * @param seed the seed of every random choice
 * @param seconds for how long faults begin, in seconds
 * @param hosts how many hosts, three at least
 * @param drill whether the store may come back from an older copy
 */
public record SoakPlan(long seed, int seconds, int hosts, boolean drill) {

    private static final int FEWEST_HOSTS = 3;

    /** Checks the numbers. */
    public SoakPlan {
        Checks.positive("seconds", seconds);
        if (hosts < FEWEST_HOSTS) {
            throw new IllegalArgumentException("hosts should be %d at least but is %d".formatted(FEWEST_HOSTS, hosts));
        }
    }
}
