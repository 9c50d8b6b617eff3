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
        String platform(DeploymentPlan.HostPlan host) {
            return host.plan().platform();
        }
    },
    /** The fault-injecting proxy stands between nodes, and between nodes and the platform. */
    PROXIED {
        @Override
        String advertised(DeploymentPlan.HostPlan host) {
            return host.peerProxy();
        }

        @Override
        String platform(DeploymentPlan.HostPlan host) {
            return host.platformProxy();
        }
    };

    abstract String advertised(DeploymentPlan.HostPlan host);

    abstract String platform(DeploymentPlan.HostPlan host);
}
