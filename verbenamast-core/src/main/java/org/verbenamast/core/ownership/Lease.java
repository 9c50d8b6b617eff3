package org.verbenamast.core.ownership;

/** The lease that this node needs in order to serve the slices it owns. */
@FunctionalInterface
public interface Lease {

    /**
     * Returns whether the node holds its lease.
     *
     * @param now the monotonic time, in nanoseconds
     * @return {@code true} if no other node can have taken over its slices
     */
    boolean holds(long now);
}
