package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.roster.ServerLife;

/** Since when each owner has not been seen. */
final class SuspectTimes {

    private final Map<ServerLife, Long> since = new HashMap<>();

    /** Returns for how long an owner has been lost, in nanoseconds; 0 where it is here. */
    long lostFor(ServerLife owner, boolean here, long now) {
        if (here) {
            since.remove(owner);
            return 0;
        }
        return now - since.computeIfAbsent(owner, life -> now);
    }

    void retain(Set<ServerLife> owners) {
        since.keySet().retainAll(owners);
    }
}
