package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowContent;

/**
 * The right of a node to grant keys to the backend server beside it, as its row in the store has it.
 *
 * @param incarnation the run of the server
 * @param granter the run of the node, as a number drawn at its start
 * @param renewal grows with each renewal of this granter
 */
public record KeyLeaseRow(ServerIncarnation incarnation, long granter, long renewal) implements RowContent {

    /** Checks the fields. */
    public KeyLeaseRow {
        Objects.requireNonNull(incarnation, "life");
        Checks.notNegative("renewal", renewal);
    }
}
