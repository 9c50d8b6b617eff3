package org.verbenamast.it.soak;

import java.util.function.Consumer;

import org.verbenamast.standins.proxy.RouteFaults;

/** What may be done to a host from outside. Faults may overlap, and the same one may come again before it has ended. */
enum SoakFault {
    /** The node is killed and stays down for a while. */
    KILL_NODE {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.killNode(host);
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.mayStartNode(host);
        }
    },
    /** The node is asked to stop, and started again as soon as it has. */
    STOP_NODE {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.stopNode(host);
        }
    },
    /** The node stands still for a while and goes on. */
    FREEZE_NODE {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.freezeNode(host);
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.wakeNode(host);
        }
    },
    /** The backend server is killed and comes back as another run. */
    KILL_SERVER {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.killServer(host);
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.mayStartServer(host);
        }
    },
    /** Node and backend server are killed at once and come back together. */
    LOSE_POWER {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.killNode(host);
            hosts.killServer(host);
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            hosts.mayStartNode(host);
            hosts.mayStartServer(host);
        }
    },
    /** The store refuses the host. */
    STORE_REFUSES {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.cut(route, ""));
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.none(route, ""));
        }
    },
    /** The store answers the host late. */
    STORE_SLOW {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(new RouteFaults(route, "", false, false, false, SLOW_MILLIS));
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.none(route, ""));
        }
    },
    /** What the host asks of the store vanishes. */
    STORE_SILENT {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.losing(route, ""));
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.none(route, ""));
        }
    },
    /** The store does what the host asks, but its answers vanish. */
    STORE_ANSWERS_LOST {
        @Override
        void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(new RouteFaults(route, "", false, false, true, 0));
        }

        @Override
        void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
            proxy.accept(RouteFaults.none(route, ""));
        }
    };

    /** How late a slow store answers, in milliseconds; several round trips, and less than a lease. */
    private static final long SLOW_MILLIS = 900;

    /**
     * Begins the fault.
     *
     * @param hosts the processes
     * @param host the host that it strikes
     * @param route the proxy's route from the host to the store
     * @param proxy sets faults of the proxy
     */
    abstract void begin(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy);

    /**
     * Ends the fault; nothing is to be done where it ends by itself.
     *
     * @param hosts the processes
     * @param host the host that it struck
     * @param route the proxy's route from the host to the store
     * @param proxy sets faults of the proxy
     */
    void end(SoakHosts hosts, int host, String route, Consumer<RouteFaults> proxy) {
        // The host starts again what has stopped.
    }
}
