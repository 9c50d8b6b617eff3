package org.verbenamast.core.table;

/** Counts the running requests to which a limit applies. */
@FunctionalInterface
public interface LimitUsage {

    /** Reports no running requests. */
    LimitUsage NONE = scope -> 0;

    /**
     * Counts the running requests of a scope.
     *
     * @param scope a service, a service in an availability zone, or one of its backend servers
     * @return the known number of running requests
     */
    long running(TableScope scope);
}
