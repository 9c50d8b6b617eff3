package org.verbenamast.core.table;

/** Tells how much of a limit is in use. */
@FunctionalInterface
public interface TableUse {

    /** Nothing is known to be in use. */
    TableUse NONE = scope -> 0;

    /**
     * Counts the requests that run now.
     *
     * @param scope a service, its part in an availability zone, or one of its backend servers
     * @return the number of requests that are known to run
     */
    long running(TableScope scope);
}
