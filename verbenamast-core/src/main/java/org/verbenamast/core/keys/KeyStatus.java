package org.verbenamast.core.keys;

import java.util.Optional;

import org.verbenamast.core.check.Checks;

/**
 * What a node may grant at a moment, for those who watch it.
 *
 * @param ownedRanges the ranges of keys that the server beside this node owns by the map
 * @param movingRanges the ranges of the service that are on their way from one server to another, or wait for an owner
 * @param lastEpoch the highest fencing token of the service's map
 * @param leaseNanos how long this node's lease still lasts, in nanoseconds; 0 where it holds none
 * @param grantNanos how long keys that were granted may still be held, in nanoseconds; 0 where none may be
 */
public record KeyStatus(int ownedRanges, int movingRanges, long lastEpoch, long leaseNanos, long grantNanos) {

    /** Checks the fields. */
    public KeyStatus {
        Checks.notNegative("ownedRanges", ownedRanges);
        Checks.notNegative("movingRanges", movingRanges);
        Checks.notNegative("lastEpoch", lastEpoch);
        Checks.notNegative("leaseNanos", leaseNanos);
        Checks.notNegative("holdNanos", grantNanos);
    }

    static KeyStatus of(KeyMap map, Optional<KeyGrantLedger> book, long leaseNanos, long now) {
        int owned = book.map(granted -> map.grantsOf(granted.life()).size()).orElse(0);
        long moving = map.assignments().stream()
                .filter(each -> each.owner().isEmpty() || each.next().isPresent())
                .count();
        long hold =
                book.map(granted -> Math.max(0, granted.grantedUntil() - now)).orElse(0L);
        return new KeyStatus(owned, (int) moving, map.lastEpoch(), leaseNanos, hold);
    }
}
