package org.verbenamast.core.gate.crash;

import java.util.List;
import java.util.Objects;

/**
 * The incidents of a suspected request, as a member sends them to one that has just started.
 *
 * @param fingerprint the request's fingerprint
 * @param open the ids of unresolved incidents
 * @param crashed the ids of incidents confirmed as crashes
 */
public record Suspicion(Fingerprint fingerprint, List<String> open, List<String> crashed) {

    /** Checks that the fingerprint is not null, and copies the lists. */
    public Suspicion {
        Objects.requireNonNull(fingerprint, "fingerprint");
        open = List.copyOf(open);
        crashed = List.copyOf(crashed);
    }
}
