package org.verbenamast.core.roster;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.rows.RowContent;

/**
 * A node and the backend server beside it, as its row in the store has it.
 *
 * @param node the node's name
 * @param peer where the node takes connections of other nodes
 * @param zone the node's availability zone
 * @param service the service of the server beside it
 * @param incarnation the run of that server
 * @param slots the requests that the server runs at once
 * @param state whether the server takes new work
 */
public record Member(
        String node,
        Address peer,
        Zone zone,
        String service,
        ServerIncarnation incarnation,
        int slots,
        ServerState state)
        implements RowContent {

    /** Checks the fields. */
    public Member {
        Checks.notBlank("node", node);
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(zone, "zone");
        Checks.notBlank("service", service);
        Objects.requireNonNull(incarnation, "life");
        Checks.positive("slots", slots);
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns this member with its server in another state.
     *
     * @param next the state
     * @return the changed member
     */
    public Member withState(ServerState next) {
        return new Member(node, peer, zone, service, incarnation, slots, next);
    }
}
