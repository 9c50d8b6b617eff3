package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.model.MemberId;

/** Tracks the members that do not answer a holder's requests. This only guides the choice of lease peers. */
final class UnresponsivePeers {

    private static final long AVOIDANCE_LEASES = 6;

    private final LeaseTimings timings;
    private final Map<MemberId, Long> silentSince = new HashMap<>();
    private final Map<MemberId, Long> avoidedUntil = new HashMap<>();

    UnresponsivePeers(LeaseTimings timings) {
        this.timings = timings;
    }

    void onLeaseGranted(MemberId peer, long now) {
        silentSince.put(peer, now);
        avoidedUntil.remove(peer);
    }

    /** Records the recipients of requests sent now; those silent for longer than a lease are avoided for a while. */
    void onRequestsSent(Set<MemberId> peers, long now) {
        silentSince.keySet().retainAll(peers);
        avoidedUntil.values().removeIf(until -> until <= now);
        for (MemberId peer : peers) {
            long since = silentSince.computeIfAbsent(peer, first -> now);
            if (now - since > timings.leaseDuration()) {
                avoidedUntil.put(peer, now + AVOIDANCE_LEASES * timings.leaseDuration());
            }
        }
    }

    boolean isUsable(MemberId peer) {
        return !avoidedUntil.containsKey(peer);
    }

    void reset() {
        silentSince.clear();
    }
}
