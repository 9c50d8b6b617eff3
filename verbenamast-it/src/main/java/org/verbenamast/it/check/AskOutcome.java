package org.verbenamast.it.check;

/** How a request ended for its caller. */
public enum AskOutcome {
    /** The whole answer of a backend server. */
    ANSWERED,
    /** Refused with the word that it did not run. */
    NOT_RUN,
    /** Whether it ran is unknown to the system. */
    UNKNOWN,
    /** No node took the connection, so that nothing was sent. */
    NOT_SENT,
    /** The connection ended before the answer, or the answer was none that the system gives. */
    CUT_OFF;

    static AskOutcome of(String header) {
        return switch (header) {
            case "answered" -> ANSWERED;
            case "not-run" -> NOT_RUN;
            case "unknown" -> UNKNOWN;
            default -> CUT_OFF;
        };
    }
}
