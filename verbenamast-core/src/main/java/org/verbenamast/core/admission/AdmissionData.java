package org.verbenamast.core.admission;

import java.util.Objects;

import org.verbenamast.core.node.Timing;

/**
 * The state of a request at the admission controller.
 *
 * @param request the request
 * @param expectedAnswerNanos how long it is expected to take from the dispatch until the sender has the answer, in
 *     nanoseconds
 * @param startedAt when the request was dispatched, in nanoseconds of the monotonic clock; 0 while it is queued
 * @param answeredAt when the server had answered, in nanoseconds of the monotonic clock; 0 before
 */
public record AdmissionData(AdmissionRequest request, long expectedAnswerNanos, long startedAt, long answeredAt) {

    /** Checks the request. */
    public AdmissionData {
        Objects.requireNonNull(request, "request");
    }

    static AdmissionData initial(AdmissionRequest request, double answerMillis) {
        return new AdmissionData(request, (long) (answerMillis * Timing.NANOS_PER_MILLI), 0, 0);
    }

    AdmissionData withStart(long now) {
        return new AdmissionData(request, expectedAnswerNanos, now, 0);
    }

    AdmissionData withAnswer(long now) {
        return new AdmissionData(request, expectedAnswerNanos, startedAt, now);
    }
}
