package org.verbenamast.core.ownership;

/** Tells whether this node may serve what it owns. */
@FunctionalInterface
public interface Lease {

    /**
     * Tells whether the node holds its lease.
     *
     * @param now the monotonic time, in nanoseconds
     * @return whether nobody can have taken over its slices
     */
    boolean holds(long now);
}
