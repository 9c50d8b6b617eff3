package org.verbenamast.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.model.MemberId;

/** Which members a holder has asked in vain. What it notes only guides the choice of lease peers. */
final class PeerProbe {

    private static final long AVOIDED_PROMISES = 6;

    private final LeaseTimings terms;
    private final Map<MemberId, Long> heard = new HashMap<>();
    private final Map<MemberId, Long> avoidedUntil = new HashMap<>();

    PeerProbe(LeaseTimings terms) {
        this.terms = terms;
    }

    void heard(MemberId peer, long now) {
        heard.put(peer, now);
        avoidedUntil.remove(peer);
    }

    /** Notes which members are asked now; those that were silent for as long as a promise are avoided for a while. */
    void asked(Set<MemberId> peers, long now) {
        heard.keySet().retainAll(peers);
        avoidedUntil.values().removeIf(until -> until <= now);
        for (MemberId peer : peers) {
            long since = heard.computeIfAbsent(peer, first -> now);
            if (now - since > terms.promise()) {
                avoidedUntil.put(peer, now + AVOIDED_PROMISES * terms.promise());
            }
        }
    }

    boolean usable(MemberId peer) {
        return !avoidedUntil.containsKey(peer);
    }

    void forget() {
        heard.clear();
    }
}
