package org.verbenamast.core.admission;

import java.util.Objects;

/**
 * The input of the events of a request at the admission controller.
 *
 * @param verdict what the controller decided
 * @param reason the reason of the refusal; ignored for other verdicts
 * @param retryAfterMillis the expected time until the server has room, in milliseconds; 0 if unknown
 */
public record AdmissionInput(Verdict verdict, Refusal reason, long retryAfterMillis) {

    static final AdmissionInput NONE = new AdmissionInput(Verdict.DISPATCH, Refusal.FULL, 0);

    /** Checks the fields. */
    public AdmissionInput {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }

    static AdmissionInput refused(Refusal reason, long retryAfterMillis) {
        return new AdmissionInput(Verdict.REFUSE, reason, retryAfterMillis);
    }

    static AdmissionInput of(Verdict verdict) {
        return new AdmissionInput(verdict, Refusal.FULL, 0);
    }

    /** Returns the decision on a request that is refused unless it is dispatched at once. */
    AdmissionInput withoutWait() {
        return verdict == Verdict.DISPATCH || verdict == Verdict.REFUSE ? this : refused(Refusal.FULL, 0);
    }

    /** What the controller does with a request that has no place yet. */
    enum Verdict {
        DISPATCH,
        QUEUE,
        AWAIT_KEY,
        REFUSE
    }
}
