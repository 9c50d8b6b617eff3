package org.verbenamast.core.admission;

import java.util.Objects;

/**
 * A request at the gate.
 *
 * @param request the request
 * @param expectedServiceNanos how long the server is expected to take for it, in nanoseconds
 * @param startedAt when the server got it, in nanoseconds; 0 while it waits
 */
public record AdmissionData(AdmissionRequest request, long expectedServiceNanos, long startedAt) {

    /** Checks the request. */
    public AdmissionData {
        Objects.requireNonNull(request, "request");
    }

    AdmissionData withStart(long now) {
        return new AdmissionData(request, expectedServiceNanos, now);
    }
}
