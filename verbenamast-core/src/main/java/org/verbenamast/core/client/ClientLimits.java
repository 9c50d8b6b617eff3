package org.verbenamast.core.client;

import org.verbenamast.core.check.Checks;

/**
 * The limits on what clients can make the process hold, over all their connections.
 *
 * @param heldBytes the bytes that may be held for clients, 0 for a share of the heap
 * @param connections the connections that may be open to clients, 0 for a share of the descriptors
 * @param pipelinedRequests the requests of one connection that may be in progress at once
 */
public record ClientLimits(long heldBytes, long connections, long pipelinedRequests) {

    /** The limits where the settings tell none. */
    public static final ClientLimits DEFAULT = new ClientLimits(0, 0, 16);

    /** Checks the numbers. */
    public ClientLimits {
        Checks.notNegative("heldBytes", heldBytes);
        Checks.notNegative("connections", connections);
        Checks.positive("pipelinedRequests", pipelinedRequests);
    }
}
