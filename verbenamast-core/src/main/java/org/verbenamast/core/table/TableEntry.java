package org.verbenamast.core.table;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * One row of the table.
 *
 * @param scope what the row is about
 * @param weight the share of work in percent of the usual share; 0 for no work
 * @param concurrency the most requests that may run at once
 * @param ratePerSecond the most requests that may start in a second
 */
public record TableEntry(TableScope scope, int weight, Limit concurrency, Limit ratePerSecond) {

    /** The usual weight, in percent. */
    public static final int USUAL_WEIGHT = 100;

    /** The greatest weight, in percent. */
    public static final int MAX_WEIGHT = 1_000;

    /** Checks the parts. */
    public TableEntry {
        Objects.requireNonNull(scope, "scope");
        Checks.within("weight", weight, 0, MAX_WEIGHT);
        Objects.requireNonNull(concurrency, "concurrency");
        Objects.requireNonNull(ratePerSecond, "ratePerSecond");
    }

    /**
     * Returns the row as a line that is the same for the same values everywhere.
     *
     * @return the line, without its end
     */
    public String line() {
        return scope + " " + weight + " " + concurrency + " " + ratePerSecond;
    }
}
