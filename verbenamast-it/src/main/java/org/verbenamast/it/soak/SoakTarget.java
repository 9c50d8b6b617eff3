package org.verbenamast.it.soak;

import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.verbenamast.standins.proxy.RouteFaults;

/**
 * The host that a fault strikes.
 *
 * @param hosts the processes of all hosts
 * @param host the number of the host
 * @param route the proxy's route from the host to the store
 * @param proxy sets the faults of a route; later ones replace earlier ones
 * @param drill begins a drill of the store with the number of versions that it loses
 */
record SoakTarget(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy, LongConsumer drill) {

    /** Versions that the store loses in a drill; what a few hosts write in some seconds. */
    private static final long LOST_VERSIONS = 20;

    /** How late a slow store answers, in milliseconds; several round trips, and less than a lease. */
    private static final long SLOW_MILLIS = 900;

    /** Checks the parts. */
    SoakTarget {
        Objects.requireNonNull(hosts, "hosts");
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(proxy, "proxy");
        Objects.requireNonNull(drill, "drill");
    }

    void loseWritesOfStore() {
        drill.accept(LOST_VERSIONS);
    }

    void refuseStore() {
        proxy.accept(RouteFaults.cut(route, ""));
    }

    void slowStore() {
        proxy.accept(new RouteFaults(route, "", false, false, false, SLOW_MILLIS));
    }

    void loseCallsToStore() {
        proxy.accept(RouteFaults.losing(route, ""));
    }

    void loseAnswersOfStore() {
        proxy.accept(new RouteFaults(route, "", false, false, true, 0));
    }

    void restoreStore() {
        proxy.accept(RouteFaults.none(route, ""));
    }
}
