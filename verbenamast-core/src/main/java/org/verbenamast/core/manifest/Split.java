package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * A part of a route's requests.
 *
 * @param service the service that the part goes to
 * @param weight the part's share, relative to the weights of the route's other parts
 */
public record Split(String service, long weight) {

    /** Checks the parts. */
    public Split {
        Checks.notBlank("service", service);
        Checks.notNegative("weight", weight);
    }
}
