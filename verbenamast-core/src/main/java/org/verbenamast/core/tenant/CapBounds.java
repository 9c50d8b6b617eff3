package org.verbenamast.core.tenant;

import org.verbenamast.core.check.Checks;

/**
 * How exactly the caps of tenants are to be kept: in any window, all nodes together may grant a tenant {@code (rate x
 * window + burst) x (1 + overage) + slack} requests.
 *
 * @param windowMillis the length of a window, in milliseconds
 * @param overage the tolerated excess, as a ratio
 * @param slack the requests that are tolerated beyond it
 */
public record CapBounds(long windowMillis, double overage, double slack) {

    /** The bounds where the settings tell none. */
    public static final CapBounds DEFAULT = new CapBounds(5_000, 0, 0);

    /** Checks the numbers. */
    public CapBounds {
        Checks.positive("windowMillis", windowMillis);
        Checks.finiteNotNegative("overage", overage);
        Checks.finiteNotNegative("slack", slack);
    }
}
