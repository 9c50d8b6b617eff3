package org.verbenamast.core.roster;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.rows.RowContent;

/**
 * A node and the backend server beside it, as stored in the row of the node.
 *
 * @param node the node's name
 * @param peer where the node accepts connections from other nodes
 * @param zone the node's availability zone
 * @param service the service of the server beside it
 * @param incarnation the incarnation of that server
 * @param slots the maximum number of requests that the server runs at the same time
 * @param state whether the server accepts new requests
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

    /** Checks that no field is missing or blank and that the server has a slot. */
    public Member {
        Checks.notBlank("node", node);
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(zone, "zone");
        Checks.notBlank("service", service);
        Objects.requireNonNull(incarnation, "incarnation");
        Checks.positive("slots", slots);
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns a copy of this member whose server is in another state.
     *
     * @param newState the state
     * @return the changed member
     */
    public Member withState(ServerState newState) {
        return new Member(node, peer, zone, service, incarnation, slots, newState);
    }
}
