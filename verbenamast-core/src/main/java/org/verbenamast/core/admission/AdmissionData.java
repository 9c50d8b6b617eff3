package org.verbenamast.core.admission;

import java.util.Objects;

/**
 * The state of a request at the admission controller.
 *
 * @param request the request
 * @param expectedServiceNanos how long the server is expected to take for the request, in nanoseconds
 * @param startedAt when the request was dispatched, in nanoseconds of the monotonic clock; 0 while it is queued
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
