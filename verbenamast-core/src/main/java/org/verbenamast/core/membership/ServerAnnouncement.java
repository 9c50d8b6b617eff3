package org.verbenamast.core.membership;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServiceName;

/**
 * What a backend server tells the node beside it, again and again.
 *
 * @param service the service that it offers
 * @param address where it listens
 * @param start an id of this run of the backend server
 * @param slots how many requests it can run at once
 * @param running how many requests it says it runs; late and not to be relied on
 * @param draining whether it wants no new work
 */
public record ServerAnnouncement(
        ServiceName service, Address address, String start, int slots, int running, boolean draining) {

    /** Checks the parts. */
    public ServerAnnouncement {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Checks.notBlank("start", start);
        Checks.positive("slots", slots);
        Checks.notNegative("running", running);
    }
}
