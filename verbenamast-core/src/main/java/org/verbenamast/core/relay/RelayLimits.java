package org.verbenamast.core.relay;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.model.HostLimits;
import org.verbenamast.core.tenant.CapBounds;

/**
 * The limits that a node's decisions keep to.
 *
 * @param host what the host grants to the node
 * @param caps how exactly the caps of tenants are to be kept
 * @param clients what clients can make the process hold
 * @param hedgesPerMille the requests that may be sent to a second server because the first one is late, for each
 *     thousand requests; 0 for none
 */
public record RelayLimits(HostLimits host, CapBounds caps, ClientLimits clients, long hedgesPerMille) {

    /** The limits where the settings tell none. */
    public static final RelayLimits DEFAULT =
            new RelayLimits(HostLimits.DEFAULT, CapBounds.DEFAULT, ClientLimits.DEFAULT, 0);

    private static final long PER_MILLE = 1_000;

    /** Checks that no part is missing and the ratio is one. */
    public RelayLimits {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(caps, "caps");
        Objects.requireNonNull(clients, "clients");
        Checks.within("hedgesPerMille", hedgesPerMille, 0, PER_MILLE);
    }
}
