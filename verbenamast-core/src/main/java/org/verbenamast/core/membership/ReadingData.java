package org.verbenamast.core.membership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.store.TableName;

/**
 * The data of this node's reading of the tables.
 *
 * @param desk reads tables and asks seeds
 * @param table the table that is read now or next
 * @param again whether all tables are to be read once more after this time
 * @param failures how many reads have failed since all tables were last read
 */
public record ReadingData(ReadingDesk desk, TableName table, boolean again, int failures) {

    /** Checks the parts. */
    public ReadingData {
        Objects.requireNonNull(desk, "desk");
        Objects.requireNonNull(table, "table");
        Checks.notNegative("failures", failures);
    }

    /**
     * Returns this data with another table.
     *
     * @param next the table
     * @return the changed data
     */
    public ReadingData withTable(TableName next) {
        return new ReadingData(desk, next, again, failures);
    }

    /**
     * Returns this data with the wish to read all tables once more.
     *
     * @return the changed data
     */
    public ReadingData askedAgain() {
        return new ReadingData(desk, table, true, failures);
    }

    /**
     * Returns this data with another count of failures.
     *
     * @param next the count
     * @return the changed data
     */
    public ReadingData withFailures(int next) {
        return new ReadingData(desk, table, again, next);
    }
}
