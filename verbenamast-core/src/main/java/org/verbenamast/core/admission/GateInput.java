package org.verbenamast.core.admission;

import java.util.Objects;

/**
 * The input of the events of a request at the gate.
 *
 * @param verdict what the gate decided
 * @param reason why, where the verdict is a refusal
 * @param retryAfterMillis when room is expected, in milliseconds from now
 */
public record GateInput(Verdict verdict, Refusal reason, long retryAfterMillis) {

    static final GateInput NONE = new GateInput(Verdict.DISPATCH, Refusal.FULL, 0);

    /** Checks the fields. */
    public GateInput {
        Objects.requireNonNull(verdict, "verdict");
        Objects.requireNonNull(reason, "reason");
    }

    static GateInput refused(Refusal reason, long retryAfterMillis) {
        return new GateInput(Verdict.REFUSE, reason, retryAfterMillis);
    }

    static GateInput of(Verdict verdict) {
        return new GateInput(verdict, Refusal.FULL, 0);
    }

    /** What the gate does with a request. */
    enum Verdict {
        DISPATCH,
        QUEUE,
        REFUSE
    }
}
