package org.verbenamast.it.deploy;

import java.util.List;

/** Small deployments for tests and measurements. */
public final class Plans {

    /** The keyed service of the small deployments. */
    public static final String KEYED = "stock";

    /** The service without keys. */
    public static final String FREE = "booking";

    private static final int SLICES_PER_SERVER = 16;
    private static final int CHUNK_SLICES = 16;
    private static final int SLOTS = 10;
    private static final int SERVICE_MILLIS = 2;
    private static final List<String> ZONES = List.of("jkt", "bdg", "smg");

    private Plans() {}

    /**
     * Plans a deployment with a keyed service and one without keys, in three availability zones.
     *
     * @param name the deployment's name
     * @param keyed the number of backend servers of the keyed service
     * @param free the number of backend servers of the service without keys
     * @return the plan
     */
    public static DeploymentPlan small(String name, int keyed, int free) {
        ServicePlan stock = new ServicePlan(
                KEYED, true, keyed * SLICES_PER_SERVER, CHUNK_SLICES, true, keyed, SLOTS, SERVICE_MILLIS);
        ServicePlan booking = new ServicePlan(FREE, false, 1, 1, true, free, SLOTS, SERVICE_MILLIS);
        List<ServicePlan> services = free == 0 ? List.of(stock) : List.of(stock, booking);
        return new DeploymentPlan(name, DeploymentPlan.ANY_PORT, ZONES, services);
    }
}
