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
 * @param basePort the first TCP port to use
 * @param zones the availability zones
 * @param services the services
 */
public record DeploymentPlan(String name, int basePort, List<String> zones, List<ServicePlan> services) {

    private static final int CALLER_PORTS = 100;
    private static final int OPERATOR_PORTS = 200;
    private static final int PEER_PORTS = 300;
    private static final int SERVER_PORTS = 400;
    private static final int PROXY_PORTS = 500;
    private static final int PLATFORM_PROXY_PORTS = 600;

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
    public DeploymentPlan at(int port) {
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
        return "127.0.0.1:" + basePort;
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

        private String at(int ports) {
            return "127.0.0.1:" + (plan.basePort() + ports + index);
        }

        /**
         * Returns where the node listens for callers.
         *
         * @return an address
         */
        public String callers() {
            return at(CALLER_PORTS);
        }

        /**
         * Returns where the node listens for operators.
         *
         * @return an address
         */
        public String operators() {
            return at(OPERATOR_PORTS);
        }

        /**
         * Returns where the node listens for other nodes.
         *
         * @return an address
         */
        public String peers() {
            return at(PEER_PORTS);
        }

        /**
         * Returns where the backend server listens.
         *
         * @return an address
         */
        public String server() {
            return at(SERVER_PORTS);
        }

        /**
         * Returns where a proxy in front of the node's peer address listens.
         *
         * @return an address
         */
        public String peerProxy() {
            return at(PROXY_PORTS);
        }

        /**
         * Returns where a proxy between the node and the platform listens.
         *
         * @return an address
         */
        public String platformProxy() {
            return at(PLATFORM_PROXY_PORTS);
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
