package org.verbenamast.core.relay;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.watch.StoreEras;

/**
 * The availability zones that operators have evacuated, that is, taken out of service, and until when the keys of this
 * node's own zone are still served. A zone that the store lost with its last era stays evacuated until operators have
 * had the time to write it again.
 */
final class Evacuation {

    /** Time for which keys are still served after an evacuation; half of what the platform allows. */
    private static final long KEYED_GRACE_NANOS = Timing.millisToNanos(2_500);

    private final Zone own;
    private final Roster roster;
    private Set<Zone> stored = Set.of();
    private Set<Zone> lost = Set.of();
    private long era;
    private boolean known;
    private boolean evacuated;
    private long keyedUntil;

    Evacuation(Zone own, Roster roster) {
        this.own = Objects.requireNonNull(own, "own");
        this.roster = Objects.requireNonNull(roster, "roster");
    }

    /**
     * Records the zones that the store has in an era. A node that has just started does not know since when its own
     * zone is evacuated, so that it serves no keys of an evacuated zone.
     */
    void update(Set<Zone> zones, long inEra, long now) {
        Set<Zone> missing = new HashSet<>(lost);
        if (inEra > era) {
            missing.addAll(stored);
            era = inEra;
        }
        missing.removeAll(zones);
        lost = missing;
        stored = Set.copyOf(zones);
        apply(now);
    }

    /** Gives up the zones that operators have not written again; returns whether there are any. */
    boolean review(StoreEras eras, long now) {
        boolean givesUp = eras.isConfirmed() && !lost.isEmpty();
        if (givesUp) {
            lost = Set.of();
            apply(now);
        }
        return givesUp;
    }

    private void apply(long now) {
        Set<Zone> zones = new HashSet<>(stored);
        zones.addAll(lost);
        roster.setEvacuatedZones(zones);
        boolean nowEvacuated = zones.contains(own);
        if (nowEvacuated && !evacuated) {
            keyedUntil = known ? now + KEYED_GRACE_NANOS : now;
        }
        known = true;
        evacuated = nowEvacuated;
    }

    /**
     * Returns whether a request must not reach the server. None may before the node has read which zones are evacuated.
     */
    boolean refuses(boolean keyed, long now) {
        return !known || evacuated && (!keyed || now >= keyedUntil);
    }
}
