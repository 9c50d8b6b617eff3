package org.verbenamast.core.keys;

import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * What a node owns and may grant at a moment, for the metrics page.
 *
 * @param ownedRanges the number of key ranges that the server beside this node owns according to the key map
 * @param movingRanges the number of key ranges of the service that are moving between servers or have no owner
 * @param lastEpoch the highest fencing token of the service's map
 * @param leaseNanos the time until this node's lease expires, in nanoseconds; 0 if it holds none
 * @param grantNanos the time until the keys granted last can no longer be held, in nanoseconds; 0 if none can
 */
public record KeyStatus(int ownedRanges, int movingRanges, long lastEpoch, long leaseNanos, long grantNanos) {

    /** Checks the fields. */
    public KeyStatus {
        Checks.notNegative("ownedRanges", ownedRanges);
        Checks.notNegative("movingRanges", movingRanges);
        Checks.notNegative("lastEpoch", lastEpoch);
        Checks.notNegative("leaseNanos", leaseNanos);
        Checks.notNegative("grantNanos", grantNanos);
    }

    static KeyStatus of(KeyMap map, Optional<KeyGrantLedger> ledger, long leaseNanos, long now) {
        int owned =
                ledger.map(grants -> map.grantsOf(grants.incarnation()).size()).orElse(0);
        long moving = map.assignments().stream()
                .filter(each -> each.owner().isEmpty() || each.next().isPresent())
                .count();
        long grantNanos =
                ledger.map(grants -> Math.max(0, grants.grantedUntil() - now)).orElse(0L);
        return new KeyStatus(owned, (int) moving, map.lastEpoch(), leaseNanos, grantNanos);
    }
}
