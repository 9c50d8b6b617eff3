package org.verbenamast.relay.caller;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.model.Address;

/**
 * The settings of the endpoint for callers.
 *
 * @param address the address to listen on
 * @param service the service on this host that sends the requests
 * @param limits the limits on what callers can make the node hold
 */
public record CallerSettings(Address address, String service, ClientLimits limits) {

    /** Checks the fields. */
    public CallerSettings {
        Objects.requireNonNull(address, "address");
        Checks.notBlank("service", service);
        Objects.requireNonNull(limits, "limits");
    }
}
