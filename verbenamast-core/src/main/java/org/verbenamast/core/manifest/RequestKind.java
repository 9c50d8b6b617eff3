package org.verbenamast.core.manifest;

/** What a route says of its requests: whether they may run again and how large their answers are. */
public enum RequestKind {
    /** Requests that may run any number of times. */
    SAFE(true, false),
    /** Requests that run at most once. */
    UNSAFE(false, false),
    /** Requests that may run any number of times and whose answers are large. */
    DOWNLOAD(true, true);

    private final boolean isRepeatable;
    private final boolean hasLargeAnswers;

    RequestKind(boolean repeatable, boolean large) {
        this.isRepeatable = repeatable;
        this.hasLargeAnswers = large;
    }

    /**
     * Tells whether a request of this kind is idempotent.
     *
     * @return whether it may run more than once
     */
    public boolean isRepeatable() {
        return isRepeatable;
    }

    /**
     * Tells whether answers are large, so that they should stay within an availability zone.
     *
     * @return whether answers are large
     */
    public boolean hasLargeAnswers() {
        return hasLargeAnswers;
    }
}
