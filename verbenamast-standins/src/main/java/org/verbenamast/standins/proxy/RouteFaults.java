package org.verbenamast.standins.proxy;

import java.util.Objects;

/**
 * The faults of one route.
 *
 * @param route the route's name
 * @param from the node whose connections have the faults, or an empty text for all connections
 * @param cut whether connections are closed and refused
 * @param loseToTarget whether bytes towards the target vanish
 * @param loseFromTarget whether bytes from the target vanish
 * @param delayMillis how late bytes are, in milliseconds
 */
public record RouteFaults(
        String route, String from, boolean cut, boolean loseToTarget, boolean loseFromTarget, long delayMillis) {

    /** Checks that the names are there. */
    public RouteFaults {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(from, "from");
    }

    /**
     * Makes the faults of a route without any.
     *
     * @param route the route's name
     * @param from the node whose connections are meant, or an empty text for all
     * @return no faults
     */
    public static RouteFaults none(String route, String from) {
        return new RouteFaults(route, from, false, false, false, 0);
    }

    /**
     * Makes a cut.
     *
     * @param route the route's name
     * @param from the node whose connections are cut, or an empty text for all
     * @return the faults
     */
    public static RouteFaults cut(String route, String from) {
        return new RouteFaults(route, from, true, false, false, 0);
    }

    /**
     * Makes a loss of all bytes towards the target, while connections stand.
     *
     * @param route the route's name
     * @param from the node whose bytes are lost, or an empty text for all
     * @return the faults
     */
    public static RouteFaults losing(String route, String from) {
        return new RouteFaults(route, from, false, true, false, 0);
    }

    boolean concerns(String sender) {
        return from.isEmpty() || from.equals(sender);
    }
}
