package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * The manifest's rules for a service.
 *
 * @param name the service's name
 * @param maxConnections the maximum number of connections that a backend server accepts from all its clients together
 * @param coldPerSecond the maximum rate of requests to a cold backend server (one that has just started), in requests
 *     per second; 0 for no maximum
 * @param keyed whether each backend server serves only the keys that are granted to it
 */
public record ServiceRules(String name, long maxConnections, double coldPerSecond, boolean keyed) {

    /** Checks that the name is not blank and the numbers are in range. */
    public ServiceRules {
        Checks.notBlank("name", name);
        Checks.positive("maxConnections", maxConnections);
        Checks.finiteNotNegative("coldPerSecond", coldPerSecond);
    }
}
