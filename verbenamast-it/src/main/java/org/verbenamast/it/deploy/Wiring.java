package org.verbenamast.it.deploy;

/** How the processes of a deployment reach each other. */
public enum Wiring {
    /** Nothing stands between the processes. */
    DIRECT {
        @Override
        String advertised(DeploymentPlan.HostPlan host) {
            return host.peers();
        }

        @Override
        String platform(DeploymentPlan plan) {
            return plan.platform();
        }
    },
    /** The fault-injecting proxy stands between nodes, and between nodes and the platform. */
    PROXIED {
        @Override
        String advertised(DeploymentPlan.HostPlan host) {
            return host.peerProxy();
        }

        @Override
        String platform(DeploymentPlan plan) {
            return "127.0.0.1:" + (plan.basePort() + 1);
        }
    };

    abstract String advertised(DeploymentPlan.HostPlan host);

    abstract String platform(DeploymentPlan plan);
}
