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

    /** Share of the heap that clients may fill, as a ratio; the rest is for rows, decisions and copies under way. */
    private static final double HEAP_SHARE = 0.375;
    /** Share of the descriptors that connections of clients may use, as a divisor; each may need one to a server. */
    private static final long DESCRIPTOR_DIVISOR = 2;

    /** Checks the numbers. */
    public ClientLimits {
        Checks.notNegative("heldBytes", heldBytes);
        Checks.notNegative("connections", connections);
        Checks.positive("pipelinedRequests", pipelinedRequests);
    }

    /**
     * Returns the limits with the shares in place of zeros.
     *
     * @param heapBytes the largest size of the heap, in bytes
     * @param descriptors the descriptors that the process may open
     * @return limits above zero
     */
    public ClientLimits resolve(long heapBytes, long descriptors) {
        return new ClientLimits(
                heldBytes > 0 ? heldBytes : Math.max(1, (long) (heapBytes * HEAP_SHARE)),
                connections > 0 ? connections : Math.max(1, descriptors / DESCRIPTOR_DIVISOR),
                pipelinedRequests);
    }
}
