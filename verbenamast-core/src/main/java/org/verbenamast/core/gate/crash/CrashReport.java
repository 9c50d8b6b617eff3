package org.verbenamast.core.gate.crash;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;

import org.verbenamast.core.check.Checks;

/**
 * The crash of a backend server, and the requests that it was running and that may have caused it.
 *
 * @param server the incarnation that crashed
 * @param suspects the fingerprints of the requests
 */
public record CrashReport(String server, List<Fingerprint> suspects) {

    /** Most requests that one report names; servers run fewer at the same time. */
    private static final int MAX_SUSPECTS = 64;

    /** Checks that the server is not blank, and keeps no more fingerprints than a report may name. */
    public CrashReport {
        Checks.notBlank("server", server);
        Objects.requireNonNull(suspects, "suspects");
        suspects = List.copyOf(suspects.subList(0, Math.min(suspects.size(), MAX_SUSPECTS)));
    }

    /** Returns a report of the same crash that also names the requests of another one. */
    CrashReport mergedWith(CrashReport other) {
        Set<Fingerprint> all = new LinkedHashSet<>(suspects);
        all.addAll(other.suspects());
        return new CrashReport(server, List.copyOf(all));
    }

    /** Returns the report without the requests that have proved to be harmless. */
    CrashReport without(Predicate<Fingerprint> acquitted) {
        return new CrashReport(
                server, suspects.stream().filter(acquitted.negate()).toList());
    }
}
