package org.verbenamast.core.table;

import java.util.Objects;

/**
 * The data of a change of the table while it takes one command.
 *
 * @param row the change
 * @param present the version of the table in force; 0 where there is none
 * @param fault why the command is refused, or null where it is not
 */
public record ChangeData(ChangeRow row, long present, CommandFault fault) {

    /** Checks the change. */
    public ChangeData {
        Objects.requireNonNull(row, "row");
    }

    ChangeData with(ChangeRow next) {
        return new ChangeData(next, present, fault);
    }

    ChangeData refused(CommandFault why) {
        return new ChangeData(row, present, why);
    }
}
