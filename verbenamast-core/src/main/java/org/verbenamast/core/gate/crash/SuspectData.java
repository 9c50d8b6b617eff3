package org.verbenamast.core.gate.crash;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The incidents in which a request may have crashed a backend server.
 *
 * @param fingerprint the request's fingerprint
 * @param open the incidents of which it is not known whether they were crashes
 * @param crashed the incidents that were crashes
 * @param acquitted the incidents after which the request ran well
 */
public record SuspectData(Fingerprint fingerprint, Set<String> open, Set<String> crashed, Set<String> acquitted) {

    /** Checks the fingerprint and copies the sets. */
    public SuspectData {
        Objects.requireNonNull(fingerprint, "fingerprint");
        open = Set.copyOf(open);
        crashed = Set.copyOf(crashed);
        acquitted = Set.copyOf(acquitted);
    }

    int incidents() {
        return open.size() + crashed.size();
    }

    int crashes() {
        return crashed.size();
    }

    boolean knows(String incident) {
        return open.contains(incident) || crashed.contains(incident) || acquitted.contains(incident);
    }

    SuspectData accused(String incident) {
        return knows(incident) ? this : new SuspectData(fingerprint, with(open, incident), crashed, acquitted);
    }

    SuspectData confirmed(String incident) {
        if (acquitted.contains(incident)) {
            return this;
        }
        return new SuspectData(fingerprint, without(open, incident), with(crashed, incident), acquitted);
    }

    SuspectData dismissed(String incident) {
        return new SuspectData(fingerprint, without(open, incident), crashed, acquitted);
    }

    SuspectData ranWell() {
        Set<String> all = new HashSet<>(acquitted);
        all.addAll(open);
        all.addAll(crashed);
        return new SuspectData(fingerprint, Set.of(), Set.of(), all);
    }

    private static Set<String> with(Set<String> incidents, String incident) {
        Set<String> next = new HashSet<>(incidents);
        next.add(incident);
        return next;
    }

    private static Set<String> without(Set<String> incidents, String incident) {
        Set<String> next = new HashSet<>(incidents);
        next.remove(incident);
        return next;
    }
}
