package org.verbenamast.core.membership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.TableName;

/**
 * The data of this node's reading of the tables.
 *
 * @param controller reads tables and asks seeds
 * @param table the table that is read now or next
 * @param rereadRequested whether all tables are to be read once more after this time
 * @param failures how many reads have failed since all tables were last read
 */
public record TableReadData(TableReadController controller, TableName table, boolean rereadRequested, int failures) {

    /** Checks the parts. */
    public TableReadData {
        Objects.requireNonNull(controller, "desk");
        Objects.requireNonNull(table, "table");
        Checks.notNegative("failures", failures);
    }

    /**
     * Returns this data with another table.
     *
     * @param next the table
     * @return the changed data
     */
    public TableReadData withTable(TableName next) {
        return new TableReadData(controller, next, rereadRequested, failures);
    }

    /**
     * Returns this data with the wish to read all tables once more.
     *
     * @return the changed data
     */
    public TableReadData withRereadRequested() {
        return new TableReadData(controller, table, true, failures);
    }

    /**
     * Returns this data with another count of failures.
     *
     * @param next the count
     * @return the changed data
     */
    public TableReadData withFailures(int next) {
        return new TableReadData(controller, table, rereadRequested, next);
    }
}
