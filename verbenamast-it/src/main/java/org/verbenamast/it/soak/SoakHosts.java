package org.verbenamast.it.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Objects;

import org.verbenamast.it.deploy.Processes;
import org.verbenamast.it.deploy.RelayFleet;

/** The processes of the hosts, as something outside treats them. Each host starts again what has ended. */
final class SoakHosts {

    private final RelayFleet fleet;
    private final int[] nodeDown;
    private final int[] serverDown;
    private final int[] frozen;

    SoakHosts(RelayFleet fleet) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.nodeDown = new int[fleet.hosts()];
        this.serverDown = new int[fleet.hosts()];
        this.frozen = new int[fleet.hosts()];
    }

    /** Kills the node of a host, which stays down until {@link #mayStartNode}. */
    void killNode(int host) {
        nodeDown[host]++;
        fleet.relay(host).destroyForcibly();
    }

    void mayStartNode(int host) {
        nodeDown[host]--;
    }

    /** Kills the backend server of a host, which stays down until {@link #mayStartServer}. */
    void killServer(int host) {
        serverDown[host]++;
        fleet.server(host).destroyForcibly();
    }

    void mayStartServer(int host) {
        serverDown[host]--;
    }

    /** Asks the node of a host to stop; it is started again once it has. */
    void stopNode(int host) {
        fleet.relay(host).destroy();
    }

    /** Lets the node of a host stand still until {@link #wakeNode} was called as often. */
    void freezeNode(int host) {
        frozen[host]++;
        signal(Processes::freeze, host);
    }

    void wakeNode(int host) {
        frozen[host]--;
        if (frozen[host] == 0) {
            signal(Processes::wake, host);
        }
    }

    /** Sends a signal to the node of a host. */
    private interface Signal {
        Process send(Process process) throws IOException;
    }

    private void signal(Signal signal, int host) {
        try {
            signal.send(fleet.relay(host));
        } catch (IOException e) {
            throw new UncheckedIOException("a signal should always be sent", e);
        }
    }

    /** Starts every process that has ended and may run. */
    void startEnded() {
        try {
            for (int host = 0; host < fleet.hosts(); host++) {
                if (nodeDown[host] == 0 && !fleet.relay(host).isAlive()) {
                    fleet.startRelay(host);
                }
                if (serverDown[host] == 0 && !fleet.server(host).isAlive()) {
                    fleet.startServer(host);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException("a program should always start", e);
        }
    }
}
