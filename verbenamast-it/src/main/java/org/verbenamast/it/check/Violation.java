package org.verbenamast.it.check;

import java.util.Objects;

/**
 * A contradiction between a promise and the records.
 *
 * @param kind the promise
 * @param subject the slice or the request that it is about
 * @param first what was recorded first
 * @param second what contradicts it
 */
public record Violation(ViolationKind kind, String subject, String first, String second) {

    /** Checks that there is a kind. */
    public Violation {
        Objects.requireNonNull(kind, "kind");
    }

    static Violation shouldHaveOneOwner(ServedRun first, ServedRun second) {
        return of(ViolationKind.TWO_OWNERS, first, second);
    }

    static Violation shouldKeepEpochsGrowing(ServedRun first, ServedRun second) {
        return of(ViolationKind.EPOCH_BACK, first, second);
    }

    static Violation shouldEndBeforeTheNextOwnerRuns(ServedRun first, ServedRun second) {
        return of(ViolationKind.OVERLAP, first, second);
    }

    static Violation shouldRunOnce(ServedRun first, ServedRun second) {
        return new Violation(
                ViolationKind.RAN_TWICE, first.run().idempotencyKey(), first.toString(), second.toString());
    }

    static Violation shouldNotHaveRun(Ask ask, ServedRun run) {
        return new Violation(ViolationKind.FALSE_NOT_RUN, ask.idempotencyKey(), ask.toString(), run.toString());
    }

    static Violation shouldHaveRun(Ask ask) {
        return new Violation(ViolationKind.ANSWERED_WITHOUT_RUN, ask.idempotencyKey(), ask.toString(), "no run");
    }

    static Violation shouldHoldItsOwnAnswer(Ask ask) {
        return new Violation(
                ViolationKind.WRONG_ANSWER, ask.idempotencyKey(), ask.toString(), ask.body().length + " bytes");
    }

    private static Violation of(ViolationKind kind, ServedRun first, ServedRun second) {
        return new Violation(kind, "slice " + first.run().slice(), first.toString(), second.toString());
    }
}
