package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Since when each owner of keys has been unreachable. A host counts as reachable for a moment whenever it is
 * about to be probed, so an owner counts as recovered only after it has been reachable for some time.
 */
final class SuspectTimes {

    /**
     * Time for which an owner has to be reachable before it counts as recovered, in nanoseconds; a probe takes less.
     */
    private static final long RECOVERY_DELAY_NANOS = Timing.millisToNanos(1_500);

    private final Map<ServerIncarnation, Long> unreachableSince = new HashMap<>();
    private final Map<ServerIncarnation, Long> reachableSince = new HashMap<>();

    /** Returns for how long an owner has been unreachable, in nanoseconds; 0 if it is reachable or has recovered. */
    long unreachableNanos(ServerIncarnation owner, boolean reachable, long now) {
        if (!reachable) {
            reachableSince.remove(owner);
            return now - unreachableSince.computeIfAbsent(owner, incarnation -> now);
        }
        if (unreachableSince.containsKey(owner)
                && now - reachableSince.computeIfAbsent(owner, incarnation -> now) >= RECOVERY_DELAY_NANOS) {
            unreachableSince.remove(owner);
        }
        return unreachableSince.containsKey(owner) ? now - unreachableSince.get(owner) : 0;
    }

    void retain(Set<ServerIncarnation> owners) {
        unreachableSince.keySet().retainAll(owners);
        reachableSince.keySet().retainAll(owners);
    }
}
