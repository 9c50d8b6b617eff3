package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.watch.StoreEras;

/**
 * What a node may do with the keys of its service after the store has come back from an older copy. Until the key map
 * is settled in the new era it may lack moves that the store has lost: nothing is planned on it, and keys are granted
 * only under a lease that this node has held without a gap since it last saw a settled map.
 */
final class EraPassage {

    /** Time that each node by name leaves to those before it to write the map again, as a part of its turn to plan. */
    private static final long RESTORE_TURN_PARTS = 4;
    /** Time for the lost map to be read and compared before it is written again, in nanoseconds. */
    private static final long RESTORE_DELAY_NANOS = Timing.millisToNanos(100);

    private final StoreEras eras;
    private final KeyPlanner planner;
    private long watchedEra;
    private boolean leaseIsContinuous;

    EraPassage(StoreEras eras, KeyPlanner planner) {
        this.eras = Objects.requireNonNull(eras, "eras");
        this.planner = Objects.requireNonNull(planner, "planner");
    }

    /** Records, before anything can renew an expired lease, whether this node holds one. */
    void recordLease(KeyMap map, long leaseNanos) {
        leaseIsContinuous = leaseNanos > 0 && (leaseIsContinuous || isSettled(map));
    }

    /** Returns whether a map lacks nothing that the store lost with its last era. */
    boolean isSettled(KeyMap map) {
        return map.isSettledIn(eras.era());
    }

    /** Returns whether this node may grant keys; on a map that is not settled, only those that it granted last. */
    boolean mayGrant(KeyMap map) {
        return isSettled(map) || leaseIsContinuous;
    }

    /** Returns whether the era has changed since the last call, so that what was watched before says nothing. */
    boolean isNewEra() {
        boolean isNew = watchedEra != eras.era();
        watchedEra = eras.era();
        return isNew;
    }

    /**
     * Returns whether this node may plan on a map: a settled one, one that it may settle as all leases of the former
     * era have expired, or the first one of a store that this node has never known in another era.
     */
    boolean mayPlan(KeyMap map, long now) {
        return isSettled(map)
                || eras.isFirst() && map.isVacant()
                || eras.isConfirmed() && now - eras.confirmedAt() >= planner.turnNanos(now);
    }

    /** Returns whether this node may write the map again that the store has lost. */
    boolean mayRestore(long now) {
        return now - eras.learnedAt() >= RESTORE_DELAY_NANOS + planner.turnNanos(now) / RESTORE_TURN_PARTS;
    }

    KeyMap settled(KeyMap map) {
        return map.settledIn(eras.era());
    }
}
