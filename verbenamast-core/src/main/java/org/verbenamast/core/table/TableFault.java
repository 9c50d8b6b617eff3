package org.verbenamast.core.table;

import java.util.Objects;

/**
 * A fault in a row of a table.
 *
 * @param row the row's number, from 1 for the first row after the header
 * @param column the column's name
 * @param found what stands there
 * @param wanted what should stand there, with its unit
 */
public record TableFault(int row, String column, String found, String wanted) {

    /** Checks the parts. */
    public TableFault {
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(found, "found");
        Objects.requireNonNull(wanted, "wanted");
    }

    /**
     * Makes the fault of a value that is not allowed.
     *
     * @param row the row's number
     * @param column the column's name
     * @param found what stands there
     * @param wanted what should stand there
     * @return the fault
     */
    public static TableFault shouldBe(int row, String column, String found, String wanted) {
        return new TableFault(row, column, found, wanted);
    }

    @Override
    public String toString() {
        return "row %d, column %s: found <%s>, wanted %s".formatted(row, column, found, wanted);
    }
}
