package org.verbenamast.core.table;

import java.util.HashMap;
import java.util.Map;

/** The rows of the version in force, by scope. */
public final class TableIndex {

    private final Map<TableScope, TableEntry> entries = new HashMap<>();
    private final Weights weights = new Weights(this);
    private final Limits limits = new Limits(this);
    private long version;

    /**
     * Takes a version. An earlier one than the one in force changes nothing.
     *
     * @param row the version
     */
    public void learn(TableRow row) {
        if (row.version() <= version) {
            return;
        }
        version = row.version();
        entries.clear();
        row.content().entries().forEach(entry -> entries.put(entry.scope().lookup(), entry));
    }

    TableEntry find(TableScope scope) {
        return entries.get(scope);
    }

    /**
     * Returns the version in force.
     *
     * @return the version, or 0 where none was accepted yet
     */
    public long version() {
        return version;
    }

    /**
     * Returns the weights of the version in force.
     *
     * @return the weights
     */
    public Weights weights() {
        return weights;
    }

    /**
     * Returns the limits of the version in force.
     *
     * @return the limits
     */
    public Limits limits() {
        return limits;
    }
}
