package org.verbenamast.core.membership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.TableName;

/**
 * The data of the one instance of the chart that reads the tables.
 *
 * @param controller reads tables and asks seeds
 * @param table the table that is being read or is read next
 * @param rereadRequested whether all tables are read again after the current pass
 * @param failures how many reads have failed since the last complete pass
 */
public record TableReadData(TableReadController controller, TableName table, boolean rereadRequested, int failures) {

    /** Rejects nulls and a negative number of failures. */
    public TableReadData {
        Objects.requireNonNull(controller, "controller");
        Objects.requireNonNull(table, "table");
        Checks.notNegative("failures", failures);
    }

    /**
     * Returns this data with another current table.
     *
     * @param next the table
     * @return the changed data
     */
    public TableReadData withTable(TableName next) {
        return new TableReadData(controller, next, rereadRequested, failures);
    }

    /**
     * Returns this data with a request to read all tables again after the current pass.
     *
     * @return the changed data
     */
    public TableReadData withRereadRequested() {
        return new TableReadData(controller, table, true, failures);
    }

    /**
     * Returns this data with another number of failures.
     *
     * @param next the number
     * @return the changed data
     */
    public TableReadData withFailures(int next) {
        return new TableReadData(controller, table, rereadRequested, next);
    }
}
