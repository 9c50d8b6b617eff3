package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * The share of a route's requests that goes to a service.
 *
 * @param service the name of the service
 * @param weight the share, relative to the weights of the route's other splits; 0 for no requests
 */
public record Split(String service, long weight) {

    /** Checks that the service is not blank and the weight not negative. */
    public Split {
        Checks.notBlank("service", service);
        Checks.notNegative("weight", weight);
    }
}
