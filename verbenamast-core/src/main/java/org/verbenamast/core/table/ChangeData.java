package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of a change of the table while one command is applied to it.
 *
 * @param row the row of the change
 * @param currentVersion the version of the table in force; 0 if there is none
 * @param fault why the command is refused, or null if it is not
 */
public record ChangeData(ChangeRow row, long currentVersion, CommandFault fault) {

    /** Validates the row. */
    public ChangeData {
        Objects.requireNonNull(row, "row");
    }

    ChangeData withRow(ChangeRow newRow) {
        return new ChangeData(newRow, currentVersion, fault);
    }

    ChangeData withFault(CommandFault newFault) {
        return new ChangeData(row, currentVersion, newFault);
    }
}
