package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowContent;

/**
 * The store's row of a key lease: the right of a node to grant keys to the backend server beside it.
 *
 * @param incarnation the incarnation of the server
 * @param granter the incarnation of the node: a number drawn when it starts
 * @param renewal increases with each renewal by this node
 */
public record KeyLeaseRow(ServerIncarnation incarnation, long granter, long renewal) implements RowContent {

    /** Checks the fields. */
    public KeyLeaseRow {
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.notNegative("renewal", renewal);
    }
}
