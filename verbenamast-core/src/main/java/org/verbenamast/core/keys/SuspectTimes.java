package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Since when each owner has not been seen. An owner whose host is about to be tried once more counts as there for a
 * moment; it counts as back only when it has been there for a while.
 */
final class SuspectTimes {

    /** Time for which an owner is there before it counts as back, in nanoseconds; a probe of its host takes less. */
    private static final long BACK_AFTER = Timing.millisToNanos(1_500);

    private final Map<ServerIncarnation, Long> since = new HashMap<>();
    private final Map<ServerIncarnation, Long> hereSince = new HashMap<>();

    /** Returns for how long an owner has been lost, in nanoseconds; 0 where it is here. */
    long lostFor(ServerIncarnation owner, boolean here, long now) {
        if (!here) {
            hereSince.remove(owner);
            return now - since.computeIfAbsent(owner, life -> now);
        }
        if (since.containsKey(owner) && now - hereSince.computeIfAbsent(owner, life -> now) >= BACK_AFTER) {
            since.remove(owner);
        }
        return since.containsKey(owner) ? now - since.get(owner) : 0;
    }

    void retain(Set<ServerIncarnation> owners) {
        since.keySet().retainAll(owners);
        hereSince.keySet().retainAll(owners);
    }
}
