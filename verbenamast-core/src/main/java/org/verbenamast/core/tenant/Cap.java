package org.verbenamast.core.tenant;

import org.verbenamast.core.manifest.Tenant;

/**
 * The cap of a tenant as tokens, of which each request takes one. In any window, all nodes together can spend the
 * tokens that are minted in it and those that are still valid from before: as many as are minted in the length of the
 * window and the life of a token. Both numbers are chosen so that this stays within the bound, and that the
 * tokens of one life are a burst.
 *
 * @param mintPerSecond the tokens that all nodes together mint in a second
 * @param lifeNanos how long a token is valid, in nanoseconds
 */
public record Cap(double mintPerSecond, long lifeNanos) {

    /** Part of the tolerance that tokens may use up; the rest covers nodes that disagree on the number of members. */
    private static final double TOLERANCE_RATIO = 0.8;
    /** Shortest life of a token, in seconds: it has to reach the node that spends it, and is granted in advance. */
    private static final double MIN_LIFE_SECONDS = 1;
    /** Longest life of a token, in seconds; it bounds what a node remembers. */
    private static final double MAX_LIFE_SECONDS = 60;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the cap of a tenant.
     *
     * @param tenant a tenant with a rate
     * @param bounds how exactly caps are to be kept
     * @return the cap
     */
    public static Cap of(Tenant tenant, CapBounds bounds) {
        double rate = tenant.ratePerSecond();
        double windowSeconds = bounds.windowMillis() / MILLIS_PER_SECOND;
        double exact = rate * windowSeconds + tenant.burst();
        double allowed = exact + TOLERANCE_RATIO * (exact * bounds.overage() + bounds.slack());
        double life = tenant.burst() * windowSeconds / (allowed - tenant.burst());
        double lifeSeconds = Math.max(MIN_LIFE_SECONDS, Math.min(MAX_LIFE_SECONDS, life));
        return new Cap(allowed / (windowSeconds + lifeSeconds), (long) (lifeSeconds * NANOS_PER_SECOND));
    }

    /**
     * Returns the tokens that are minted in a time.
     *
     * @param nanos the time, in nanoseconds
     * @param share the part of the cap that is minted
     * @return the tokens
     */
    double minted(double nanos, double share) {
        return mintPerSecond * share * nanos / NANOS_PER_SECOND;
    }

    /** Returns the largest number of tokens that can be valid at once. */
    double mostTokens() {
        return mintPerSecond * lifeNanos / NANOS_PER_SECOND;
    }
}
