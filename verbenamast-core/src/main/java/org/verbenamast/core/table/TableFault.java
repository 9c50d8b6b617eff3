package org.verbenamast.core.table;

import java.util.Objects;

/**
 * An invalid value in a row of the table.
 *
 * @param row the number of the row: 1 for the first row after the header, 0 for the header
 * @param column the name of the column
 * @param found the invalid value
 * @param wanted a description of the valid values, with their unit
 */
public record TableFault(int row, String column, String found, String wanted) {

    /** Validates the components. */
    public TableFault {
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(found, "found");
        Objects.requireNonNull(wanted, "wanted");
    }

    /**
     * Creates the fault of an invalid value.
     *
     * @param row the number of the row; 0 for the header
     * @param column the name of the column
     * @param found the invalid value
     * @param wanted a description of the valid values
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
