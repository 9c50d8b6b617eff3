package org.verbenamast.core.admission;

import java.util.Objects;

/**
 * The input of the events of a request at the gate.
 *
 * @param verdict what the gate decided
 * @param reason why, where the verdict is a refusal
 * @param retryAfterMillis when room is expected, in milliseconds from now
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

    /** What the gate does with a request. */
    enum Verdict {
        DISPATCH,
        QUEUE,
        REFUSE
    }
}
