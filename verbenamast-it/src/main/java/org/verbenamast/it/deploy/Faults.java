package org.verbenamast.it.deploy;

import java.io.IOException;

import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.standins.platform.PlatformFaults;
import org.verbenamast.standins.proxy.RouteFaults;

/** Does harm to the processes of a deployment and to the connections between them. */
public final class Faults {

    private static final int OK = 200;
    private static final long STOP_SECONDS = 30;

    private final Deployment deployment;

    /**
     * Makes the faults of a deployment.
     *
     * @param deployment the deployment
     */
    public Faults(Deployment deployment) {
        this.deployment = deployment;
    }

    /**
     * Kills a process without a word.
     *
     * @param process the process
     * @throws IOException where it does not end
     */
    public void kill(Process process) throws IOException {
        process.destroyForcibly();
        Processes.awaitEnd(process, STOP_SECONDS);
    }

    /**
     * Asks a process to stop gracefully and waits until it has.
     *
     * @param process the process
     * @throws IOException where it does not end
     */
    public void stop(Process process) throws IOException {
        process.destroy();
        Processes.awaitEnd(process, STOP_SECONDS);
    }

    /**
     * Freezes a process.
     *
     * @param process the process
     * @throws IOException where the signal can't be sent
     */
    public void freeze(Process process) throws IOException {
        Processes.awaitEnd(Processes.freeze(process), STOP_SECONDS);
    }

    /**
     * Lets a frozen process go on.
     *
     * @param process the process
     * @throws IOException where the signal can't be sent
     */
    public void wake(Process process) throws IOException {
        Processes.awaitEnd(Processes.wake(process), STOP_SECONDS);
    }

    /**
     * Cuts a node off from all other nodes; it still reaches the platform.
     *
     * @param host the node's host
     * @throws IOException where the proxy does not answer
     */
    public void cutOff(HostPlan host) throws IOException {
        cutFrom(host);
        set(RouteFaults.cut(host.name(), ""));
    }

    /**
     * Cuts only the connections that a node makes to other nodes.
     *
     * @param host the node's host
     * @throws IOException where the proxy does not answer
     */
    public void cutFrom(HostPlan host) throws IOException {
        for (HostPlan other : deployment.plan().hosts()) {
            set(RouteFaults.cut(other.name(), host.name()));
        }
    }

    /**
     * Loses all bytes that other nodes send to a node, while the connections stand.
     *
     * @param host the node's host
     * @throws IOException where the proxy does not answer
     */
    public void loseTowards(HostPlan host) throws IOException {
        set(RouteFaults.losing(host.name(), ""));
    }

    /**
     * Ends all faults between a node and other nodes.
     *
     * @param host the node's host
     * @throws IOException where the proxy does not answer
     */
    public void join(HostPlan host) throws IOException {
        set(RouteFaults.none(host.name(), ""));
        for (HostPlan other : deployment.plan().hosts()) {
            set(RouteFaults.none(other.name(), host.name()));
        }
    }

    /**
     * Cuts a node off from the platform, or ends that.
     *
     * @param host the node's host
     * @param cut whether it is cut off
     * @throws IOException where the proxy does not answer
     */
    public void cutPlatform(HostPlan host, boolean cut) throws IOException {
        String route = host.platformRoute();
        set(cut ? RouteFaults.cut(route, "") : RouteFaults.none(route, ""));
    }

    /**
     * Begins or ends an outage of the platform.
     *
     * @param outage whether it is out
     * @throws IOException where the platform's stand-in does not answer
     */
    public void platformOutage(boolean outage) throws IOException {
        PlatformFaults faults = new PlatformFaults(outage, 0, 0, 0, 0);
        check(Http.post(deployment.plan().platform(), "/admin/faults", faults));
    }

    private void set(RouteFaults faults) throws IOException {
        check(Http.post(deployment.plan().proxyControl(), "/admin/faults", faults));
    }

    private static void check(int status) throws IOException {
        if (status != OK) {
            throw new IOException("a stand-in refused a fault with status " + status);
        }
    }
}
