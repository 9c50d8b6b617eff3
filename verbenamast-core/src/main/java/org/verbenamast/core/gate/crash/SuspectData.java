package org.verbenamast.core.gate.crash;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The incidents in which a request may have crashed a backend server, the data of chart {@code suspect}.
 *
 * @param fingerprint the request's fingerprint
 * @param open the ids of unresolved incidents
 * @param crashed the ids of incidents confirmed as crashes
 * @param acquitted the ids of incidents after which the request ran without a crash
 */
public record SuspectData(Fingerprint fingerprint, Set<String> open, Set<String> crashed, Set<String> acquitted) {

    /** Checks that the fingerprint is not null, and copies the sets. */
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

    SuspectData withIncident(String incident) {
        return knows(incident) ? this : new SuspectData(fingerprint, with(open, incident), crashed, acquitted);
    }

    SuspectData withCrash(String incident) {
        if (acquitted.contains(incident)) {
            return this;
        }
        return new SuspectData(fingerprint, without(open, incident), with(crashed, incident), acquitted);
    }

    SuspectData withoutIncident(String incident) {
        return new SuspectData(fingerprint, without(open, incident), crashed, acquitted);
    }

    SuspectData withAcquittal() {
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
