package org.verbenamast.core.tenant;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a node holds and has used of the tenants' caps.
 *
 * @param active whether the manifest in force has caps
 * @param cedingNodes the nodes that have ceded their share to this node; 0 unless it is the bank
 * @param rejectedGrants the grants that were not accepted: larger than the cap, or under an old manifest
 * @param usage the usage by tenant, sorted by name, of those with requests since they got a cap
 */
public record CapStatus(boolean active, long cedingNodes, long rejectedGrants, Map<String, CapUsage> usage) {

    /** Copies the map. */
    public CapStatus {
        usage = Collections.unmodifiableMap(new TreeMap<>(usage));
    }
}
