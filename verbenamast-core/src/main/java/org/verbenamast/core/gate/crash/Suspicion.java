package org.verbenamast.core.gate.crash;

import java.util.List;
import java.util.Objects;

/**
 * What a member holds against a request, as it tells a member that has just started.
 *
 * @param fingerprint the request's fingerprint
 * @param open the incidents of which it is not known whether they were crashes
 * @param crashed the incidents that were crashes
 */
public record Suspicion(Fingerprint fingerprint, List<String> open, List<String> crashed) {

    /** Checks the fingerprint and copies the lists. */
    public Suspicion {
        Objects.requireNonNull(fingerprint, "fingerprint");
        open = List.copyOf(open);
        crashed = List.copyOf(crashed);
    }
}
