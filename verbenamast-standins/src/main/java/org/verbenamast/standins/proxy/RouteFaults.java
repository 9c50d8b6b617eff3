package org.verbenamast.standins.proxy;

/**
 * The faults of one route.
 *
 * @param route the route's name
 * @param cut whether connections are closed and refused
 * @param loseToTarget whether bytes towards the target vanish
 * @param loseFromTarget whether bytes from the target vanish
 * @param delayMillis how late bytes are, in milliseconds
 */
public record RouteFaults(String route, boolean cut, boolean loseToTarget, boolean loseFromTarget, long delayMillis) {

    static RouteFaults none(String route) {
        return new RouteFaults(route, false, false, false, 0);
    }
}
