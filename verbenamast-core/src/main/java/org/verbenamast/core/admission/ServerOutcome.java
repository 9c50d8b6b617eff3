package org.verbenamast.core.admission;

/** How a request that was dispatched to the server ended there. */
public enum ServerOutcome {
    /** The server answered, with a success or with an error of the caller. */
    ANSWERED(true, true, false),
    /** The server answered that it failed. */
    FAILED(true, false, false),
    /** The server reported that it did not run the request. */
    REJECTED(false, false, true),
    /** The request did not reach the server, or reached another one than was meant. */
    UNSENT(false, true, false),
    /** The connection broke, or the answer was unusable. */
    BROKEN(false, false, false);

    private final boolean hasServiceTime;
    private final boolean useful;
    private final boolean rejected;

    ServerOutcome(boolean hasServiceTime, boolean useful, boolean rejected) {
        this.hasServiceTime = hasServiceTime;
        this.useful = useful;
        this.rejected = rejected;
    }

    /**
     * Returns whether the server answered the request after running it, so that the elapsed time is a service time.
     *
     * @return whether the request occupied a slot until its answer
     */
    public boolean hasServiceTime() {
        return hasServiceTime;
    }

    boolean isUseful() {
        return useful;
    }

    boolean isRejected() {
        return rejected;
    }
}
