package org.verbenamast.it.deploy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A deployment that is to run on one machine.
 *
 * @param name the deployment's name
 * @param basePort the first TCP port to use, or {@link #ANY_PORT}
 * @param zones the availability zones
 * @param services the services
 */
public record DeploymentPlan(String name, int basePort, List<String> zones, List<ServicePlan> services) {

    /** The base port of a plan that takes any free block of ports when it starts. */
    public static final int ANY_PORT = 0;

    private static final int PLATFORM = 0;
    private static final int PROXY_CONTROL = 1;
    private static final int FIRST_HOST = 2;
    private static final int PORTS_PER_HOST = 6;
    private static final int CALLERS = 0;
    private static final int OPERATORS = 1;
    private static final int PEERS = 2;
    private static final int SERVER = 3;
    private static final int PEER_PROXY = 4;
    private static final int PLATFORM_PROXY = 5;

    /** Copies the lists. */
    public DeploymentPlan {
        zones = List.copyOf(zones);
        services = List.copyOf(services);
    }

    /**
     * Reads a plan.
     *
     * @param file a JSON file
     * @return the plan
     * @throws IOException where the file can't be read
     */
    public static DeploymentPlan read(Path file) throws IOException {
        return new ObjectMapper().readValue(file.toFile(), DeploymentPlan.class);
    }

    /**
     * Returns this plan on other ports.
     *
     * @param port the first TCP port to use
     * @return the changed plan
     */
    public DeploymentPlan onPorts(int port) {
        return new DeploymentPlan(name, port, zones, services);
    }

    /**
     * Lists the hosts: each has a backend server and a node.
     *
     * @return the hosts
     */
    public List<HostPlan> hosts() {
        List<HostPlan> hosts = new ArrayList<>();
        for (ServicePlan service : services) {
            for (int i = 0; i < service.instances(); i++) {
                String zone = zones.get(i % zones.size());
                hosts.add(new HostPlan(this, hosts.size(), service.name() + "-" + (i + 1), zone, service));
            }
        }
        return hosts;
    }

    /**
     * Returns where the platform listens.
     *
     * @return an address
     */
    public String platform() {
        return at(PLATFORM);
    }

    /**
     * Returns where the fault proxy takes commands.
     *
     * @return an address
     */
    public String proxyControl() {
        return at(PROXY_CONTROL);
    }

    private String at(int number) {
        return "127.0.0.1:" + PortBlock.port(basePort, number);
    }

    int ports() {
        return FIRST_HOST + PORTS_PER_HOST * hosts().size();
    }

    /**
     * One host of a deployment.
     *
     * @param plan the deployment
     * @param index the host's number
     * @param name the node's name
     * @param zone the availability zone
     * @param service the service
     */
    public record HostPlan(DeploymentPlan plan, int index, String name, String zone, ServicePlan service) {

        private String at(int kind) {
            return plan.at(FIRST_HOST + PORTS_PER_HOST * index + kind);
        }

        /**
         * Returns where the node listens for callers.
         *
         * @return an address
         */
        public String callers() {
            return at(CALLERS);
        }

        /**
         * Returns where the node listens for operators.
         *
         * @return an address
         */
        public String operators() {
            return at(OPERATORS);
        }

        /**
         * Returns where the node listens for other nodes.
         *
         * @return an address
         */
        public String peers() {
            return at(PEERS);
        }

        /**
         * Returns where the backend server listens.
         *
         * @return an address
         */
        public String server() {
            return at(SERVER);
        }

        /**
         * Returns where a proxy in front of the node's peer address listens.
         *
         * @return an address
         */
        public String peerProxy() {
            return at(PEER_PROXY);
        }

        /**
         * Returns where a proxy between the node and the platform listens.
         *
         * @return an address
         */
        public String platformProxy() {
            return at(PLATFORM_PROXY);
        }

        /**
         * Returns the name of the proxy's route between the node and the platform.
         *
         * @return the route's name
         */
        public String platformRoute() {
            return "platform-" + name;
        }
    }
}
