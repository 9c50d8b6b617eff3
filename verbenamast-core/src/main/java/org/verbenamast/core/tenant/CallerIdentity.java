package org.verbenamast.core.tenant;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.manifest.CallerKeyDigest;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.core.manifest.TenantIndex;

/**
 * Whose a request is. Decided once by its entry node, and again when a manifest comes into force while the request
 * waits.
 *
 * @param verdict what the key tells
 * @param key the digest of the key, if a tenant has it
 * @param tenant the tenant; empty on public routes for callers that no key identifies, and without tenants
 */
public record CallerIdentity(KeyVerdict verdict, Optional<CallerKeyDigest> key, Optional<Tenant> tenant) {

    private static final CallerIdentity ANYONE = unidentified(KeyVerdict.NOT_NEEDED);

    /** Checks that no part is missing. */
    public CallerIdentity {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(tenant, "tenant");
    }

    private static CallerIdentity unidentified(KeyVerdict verdict) {
        return new CallerIdentity(verdict, Optional.empty(), Optional.empty());
    }

    /**
     * Decides whose a request is.
     *
     * @param keys the values of all key fields of the request
     * @param route the route of the request
     * @param tenants the tenants of the manifest in force
     * @return the identity, or why there is none
     */
    public static CallerIdentity of(List<String> keys, Route route, TenantIndex tenants) {
        if (!tenants.keysRequired()) {
            return ANYONE;
        }
        CallerIdentity identity = identify(keys, tenants);
        return identity.verdict().isRefused() && route.isPublic() ? ANYONE : identity;
    }

    private static CallerIdentity identify(List<String> keys, TenantIndex tenants) {
        if (keys.isEmpty() || keys.size() == 1 && keys.get(0).isBlank()) {
            return unidentified(KeyVerdict.NO_KEY);
        }
        if (keys.size() > 1) {
            return unidentified(KeyVerdict.REPEATED_KEY);
        }
        CallerKeyDigest key = CallerKeyDigest.of(keys.get(0));
        return tenants.find(key)
                .map(tenant -> new CallerIdentity(KeyVerdict.KNOWN, Optional.of(key), Optional.of(tenant)))
                .orElseGet(() -> unidentified(KeyVerdict.UNKNOWN_KEY));
    }

    /**
     * Returns whether a request that has not reached a server yet may still do so.
     *
     * @param current the tenants of the manifest that has come into force since
     * @return false if the key was withdrawn or belongs to another tenant now
     */
    public boolean holdsUnder(TenantIndex current) {
        return tenant.isEmpty()
                || current.find(key.orElseThrow())
                        .filter(owner -> owner.name().equals(tenantName()))
                        .isPresent();
    }

    /**
     * Returns the name of the tenant.
     *
     * @return the name; empty if the request belongs to no tenant
     */
    public String tenantName() {
        return tenant.map(Tenant::name).orElse("");
    }

    /**
     * Returns the priority of a request.
     *
     * @param route the route of the request
     * @return the tenant's priority, or else the route's; 0 is the most urgent
     */
    public int priority(Route route) {
        return tenant.map(owner -> owner.priority().orElse(route.priority())).orElse(route.priority());
    }
}
