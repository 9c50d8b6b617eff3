package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * One row of the operators' table.
 *
 * @param scope the service, zone or backend server to which the row applies
 * @param weight the share of work, in percent of the default share; 0 for no work
 * @param concurrency the maximum number of concurrent requests
 * @param ratePerSecond the maximum number of requests started per second
 */
public record TableEntry(TableScope scope, int weight, Limit concurrency, Limit ratePerSecond) {

    /** The weight of a scope without a row, in percent. */
    public static final int DEFAULT_WEIGHT_PERCENT = 100;

    /** The greatest allowed weight, in percent. */
    public static final int MAX_WEIGHT_PERCENT = 1_000;

    /** Validates the components. */
    public TableEntry {
        Objects.requireNonNull(scope, "scope");
        Checks.within("weight", weight, 0, MAX_WEIGHT_PERCENT);
        Objects.requireNonNull(concurrency, "concurrency");
        Objects.requireNonNull(ratePerSecond, "ratePerSecond");
    }

    /**
     * Returns the canonical text of the row, from which the hash of the content is computed.
     *
     * @return one line, without a line separator
     */
    public String canonicalLine() {
        return scope + " " + weight + " " + concurrency + " " + ratePerSecond;
    }
}
