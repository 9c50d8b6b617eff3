package org.verbenamast.core.membership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServiceName;

/**
 * The announcement that a backend server repeatedly sends to the node beside it.
 *
 * @param service the service that it offers
 * @param address where it listens
 * @param start the id of this incarnation of the backend server
 * @param slots how many requests it can run at once
 * @param running how many requests the backend server reports as running; outdated when it arrives and not reliable
 * @param draining whether it asks for no new work
 */
public record ServerAnnouncement(
        ServiceName service, Address address, String start, int slots, int running, boolean draining) {

    /** Rejects nulls, a blank start id, a slot count below 1 and a negative number of running requests. */
    public ServerAnnouncement {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Checks.notBlank("start", start);
        Checks.positive("slots", slots);
        Checks.notNegative("running", running);
    }
}
