package org.verbenamast.it.deploy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenamast.node.ExitCode;

/** A deployment that runs on this machine, with stand-ins for the platform and the backend servers. */
public final class Deployment implements AutoCloseable {

    private static final long POLL_MILLIS = 50;
    private static final long STOP_SECONDS = 5;

    private final DeploymentPlan plan;
    private final PortBlock ports;
    private final Wiring wiring;
    private final Path folder;
    private final Programs programs;
    private final Map<String, Process> processes = new HashMap<>();
    private final Set<String> ended = new HashSet<>();

    private Deployment(DeploymentPlan plan, PortBlock ports, Wiring wiring, Path root, Path folder) {
        this.plan = plan;
        this.ports = ports;
        this.wiring = wiring;
        this.folder = folder;
        this.programs = new Programs(root, folder);
    }

    /**
     * Starts all processes of a deployment.
     *
     * @param plan the deployment
     * @param wiring how the processes reach each other
     * @param root the folder of the project, with its modules built
     * @return the deployment, which is to be closed
     * @throws IOException where a process can't be started
     */
    public static Deployment start(DeploymentPlan plan, Wiring wiring, Path root) throws IOException {
        Path folder = emptyFolder(root, plan.name());
        PortBlock ports = plan.basePort() == DeploymentPlan.ANY_PORT ? PortBlock.reserve(plan.ports()) : null;
        DeploymentPlan placed = ports == null ? plan : plan.onPorts(ports.base());
        Deployment deployment = new Deployment(placed, ports, wiring, root, folder);
        try {
            deployment.startAll();
            return deployment;
        } catch (IOException e) {
            deployment.close();
            throw e;
        }
    }

    private static Path emptyFolder(Path root, String name) throws IOException {
        Path target =
                root.toAbsolutePath().normalize().resolve("verbenamast-it").resolve("target");
        return Processes.emptyFolder(target.resolve("deployments").resolve(name));
    }

    private void startAll() throws IOException {
        run("platform", programs.standin("platform", List.of("platform", "--listen", plan.platform())));
        if (wiring == Wiring.PROXIED) {
            startProxy();
        }
        for (DeploymentPlan.HostPlan host : plan.hosts()) {
            startNode(host);
            startServer(host);
        }
    }

    private void startProxy() throws IOException {
        List<String> args = new ArrayList<>(List.of("proxy", "--control", plan.proxyControl()));
        for (DeploymentPlan.HostPlan host : plan.hosts()) {
            args.add("--route");
            args.add(host.platformRoute() + "=" + wiring.platform(host) + "=" + plan.platform());
            args.add("--route");
            args.add(host.name() + "=" + host.peerProxy() + "=" + host.peers());
        }
        run("proxy", programs.standin("proxy", args));
    }

    /**
     * Starts the node of a host.
     *
     * @param host the host
     * @throws IOException where the process can't be started
     */
    public void startNode(DeploymentPlan.HostPlan host) throws IOException {
        Path settings = NodeSettingsFile.write(folder, host, wiring);
        run("node " + host.name(), programs.node("node-" + host.name(), settings));
    }

    /**
     * Starts the backend server of a host.
     *
     * @param host the host
     * @throws IOException where the process can't be started
     */
    public void startServer(DeploymentPlan.HostPlan host) throws IOException {
        List<String> args = new ArrayList<>(List.of(
                "server",
                "--listen",
                host.server(),
                "--node",
                host.operators(),
                "--service",
                host.service().name(),
                "--zone",
                host.zone(),
                "--slots",
                Integer.toString(host.service().slots()),
                "--service-millis",
                Integer.toString(host.service().serviceMillis()),
                "--record",
                record(host).toString()));
        if (!host.service().fenced()) {
            args.add("--unfenced");
        }
        run("server " + host.name(), programs.standin("server-" + host.name(), args));
    }

    /**
     * Returns the file in which a backend server records what reached it.
     *
     * @param host the host
     * @return the file, which may not be there yet
     */
    public Path record(DeploymentPlan.HostPlan host) {
        return folder.resolve("record-" + host.name() + ".jsonl");
    }

    private void run(String name, Process process) {
        processes.put(name, process);
    }

    /**
     * Returns the process of a node.
     *
     * @param host the host
     * @return the process
     */
    public Process node(DeploymentPlan.HostPlan host) {
        return processes.get("node " + host.name());
    }

    /**
     * Returns the process of a backend server.
     *
     * @param host the host
     * @return the process
     */
    public Process server(DeploymentPlan.HostPlan host) {
        return processes.get("server " + host.name());
    }

    /**
     * Returns the plan.
     *
     * @return the plan
     */
    public DeploymentPlan plan() {
        return plan;
    }

    /**
     * Returns the folder with the settings and the output of all processes.
     *
     * @return the folder
     */
    public Path folder() {
        return folder;
    }

    /**
     * Waits until a condition holds.
     *
     * @param what the condition in words
     * @param timeoutMillis how long to wait, in milliseconds
     * @param condition the condition; an exception counts as not yet
     * @throws IOException where the time is up
     */
    public static void await(String what, long timeoutMillis, Condition condition) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!holds(condition)) {
            if (System.nanoTime() > end) {
                throw new IOException("timed out waiting until " + what);
            }
            pause();
        }
    }

    private static boolean holds(Condition condition) {
        try {
            return condition.holds();
        } catch (IOException e) {
            return false;
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** A condition that may need to ask a process. */
    @FunctionalInterface
    public interface Condition {

        /**
         * Tells whether the condition holds.
         *
         * @return whether it holds
         * @throws IOException where a process can't be asked
         */
        boolean holds() throws IOException;
    }

    /**
     * Waits until every node serves and every slice has an owner, shared out evenly.
     *
     * @param timeoutMillis how long to wait, in milliseconds
     * @throws IOException where the time is up
     */
    public void awaitServing(long timeoutMillis) throws IOException {
        for (DeploymentPlan.HostPlan host : plan.hosts()) {
            await(host.name() + " has its share", timeoutMillis, () -> {
                restartEnded();
                return hasShare(host);
            });
        }
    }

    /**
     * Starts each node again that has exited to come back as another incarnation, as its host would. A node that was
     * killed or asked to stop stays down.
     *
     * @throws IOException where a process can't be started
     */
    public void restartEnded() throws IOException {
        for (DeploymentPlan.HostPlan host : plan.hosts()) {
            Process node = node(host);
            if (!node.isAlive() && node.exitValue() == ExitCode.ENDED.code()) {
                ended.add(host.name());
                startNode(host);
            }
        }
    }

    /**
     * Tells whether the node of a host has exited to come back as another incarnation.
     *
     * @param host the host
     * @return whether it has, at least once
     * @throws IOException where it has just now and can't be started again
     */
    public boolean hasEnded(DeploymentPlan.HostPlan host) throws IOException {
        restartEnded();
        return ended.contains(host.name());
    }

    private boolean hasShare(DeploymentPlan.HostPlan host) throws IOException {
        JsonNode status = Http.json(host.operators(), "/v1/status");
        ServicePlan service = host.service();
        int share = service.keyed() ? service.slices() / service.instances() : 0;
        int owned = status.get("slicesOwned").asInt();
        boolean knowsAll = status.get("members").size() >= plan.hosts().size();
        return status.get("joined").asBoolean() && knowsAll && owned >= share && owned <= share + 1;
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        for (Process process : processes.values()) {
            try {
                process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        releasePorts();
    }

    private void releasePorts() {
        if (ports != null) {
            try {
                ports.close();
            } catch (IOException e) {
                throw new UncheckedIOException("a port should always be free to close", e);
            }
        }
    }
}
