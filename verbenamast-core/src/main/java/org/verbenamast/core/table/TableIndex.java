package org.verbenamast.core.table;

import java.util.HashMap;
import java.util.Map;

/** The rows of the version of the table in force, by normalized scope. */
public final class TableIndex {

    private final Map<TableScope, TableEntry> entries = new HashMap<>();
    private final Weights weights = new Weights(this);
    private final Limits limits = new Limits(this);
    private long version;

    /**
     * Applies a version of the table. A version that is not newer than the one in force is ignored.
     *
     * @param row the accepted version
     */
    public void apply(TableRow row) {
        if (row.version() <= version) {
            return;
        }
        version = row.version();
        entries.clear();
        row.content().entries().forEach(entry -> entries.put(entry.scope().normalized(), entry));
    }

    TableEntry find(TableScope scope) {
        return entries.get(scope);
    }

    /**
     * Returns the version in force.
     *
     * @return the version, or 0 if none was accepted yet
     */
    public long version() {
        return version;
    }

    /**
     * Returns the weights of the version in force.
     *
     * @return a view that follows the version in force
     */
    public Weights weights() {
        return weights;
    }

    /**
     * Returns the limits of the version in force.
     *
     * @return a view that follows the version in force
     */
    public Limits limits() {
        return limits;
    }
}
