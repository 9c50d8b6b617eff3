package org.verbenamast.core.manifest;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

import org.verbenamast.core.check.Checks;

/**
 * A tenant, whose callers identify themselves by keys and share one rate limit across all nodes.
 *
 * @param name the tenant's name
 * @param keys the digests of the keys of its callers
 * @param priority the priority of its requests, where 0 is the most urgent; it replaces the route's. Empty for none
 * @param ratePerSecond the limit on its requests at all nodes together, in requests per second; 0 for no limit
 * @param burst the requests beyond the rate that may come at once; meaningless without a rate
 */
public record Tenant(
        String name, List<CallerKeyDigest> keys, OptionalInt priority, double ratePerSecond, double burst) {

    /** Checks the fields and copies the list. */
    public Tenant {
        Checks.notBlank("name", name);
        if (name.chars().anyMatch(Character::isISOControl)) {
            throw Checks.malformed("name", "a text without control characters", name);
        }
        keys = List.copyOf(keys);
        Objects.requireNonNull(priority, "priority");
        priority.ifPresent(value -> Checks.notNegative("priority", value));
        Checks.finiteNotNegative("ratePerSecond", ratePerSecond);
        Checks.finiteNotNegative("burst", burst);
    }

    /**
     * Returns whether the tenant's requests are limited.
     *
     * @return whether it has a rate
     */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
