package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * What the manifest says of a service.
 *
 * @param name the service's name
 * @param maxConnections the most connections that a backend server takes from all callers
 * @param coldPerSecond the requests a second that a cold backend server bears; 0 where it bears any number
 * @param keyed whether each backend server serves only the keys that it holds
 */
public record ServiceRules(String name, long maxConnections, double coldPerSecond, boolean keyed) {

    /** Checks the fields. */
    public ServiceRules {
        Checks.notBlank("name", name);
        Checks.positive("maxConnections", maxConnections);
        Checks.finiteNotNegative("coldPerSecond", coldPerSecond);
    }
}
