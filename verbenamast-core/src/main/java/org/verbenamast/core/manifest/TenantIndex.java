package org.verbenamast.core.manifest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/** Finds the tenant that a caller's key belongs to. A key that several tenants have belongs to none. Immutable. */
public final class TenantIndex {

    /** The index where the manifest has no tenants, or before one is known. */
    public static final TenantIndex NONE = new TenantIndex(List.of());

    private final boolean keysRequired;
    private final Map<Long, List<KeyOwner>> ownersByFirstBits = new HashMap<>();

    private record KeyOwner(CallerKeyDigest key, Tenant tenant) {}

    /**
     * Creates an index.
     *
     * @param tenants the tenants of a manifest
     */
    public TenantIndex(List<Tenant> tenants) {
        Objects.requireNonNull(tenants, "tenants");
        keysRequired = !tenants.isEmpty();
        for (Tenant tenant : tenants) {
            tenant.keys().stream().distinct().forEach(key -> ownersByFirstBits
                    .computeIfAbsent(key.first(), bits -> new ArrayList<>())
                    .add(new KeyOwner(key, tenant)));
        }
    }

    /**
     * Returns whether callers need a key on routes that are not public.
     *
     * @return whether the manifest has tenants
     */
    public boolean keysRequired() {
        return keysRequired;
    }

    /**
     * Returns the tenant of a key.
     *
     * @param key the digest of the key
     * @return the tenant, or nothing where none or more than one has the key
     */
    public Optional<Tenant> find(CallerKeyDigest key) {
        List<Tenant> owners = new ArrayList<>(1);
        for (KeyOwner owner : ownersByFirstBits.getOrDefault(key.first(), List.of())) {
            if (owner.key().matches(key)) {
                owners.add(owner.tenant());
            }
        }
        return owners.size() == 1 ? Optional.of(owners.get(0)) : Optional.empty();
    }
}
