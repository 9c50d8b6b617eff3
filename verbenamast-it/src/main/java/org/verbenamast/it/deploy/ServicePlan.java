package org.verbenamast.it.deploy;

/**
 * A service of a deployment.
 *
 * @param name the service's name
 * @param keyed whether each key has one owner
 * @param slices the number of slices
 * @param chunkSlices the number of slices in one row
 * @param fenced whether the backend servers check epochs
 * @param instances the number of backend servers
 * @param slots how many requests a backend server runs at once
 * @param serviceMillis how long a request takes, in milliseconds
 */
public record ServicePlan(
        String name,
        boolean keyed,
        int slices,
        int chunkSlices,
        boolean fenced,
        int instances,
        int slots,
        int serviceMillis) {}
