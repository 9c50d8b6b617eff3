package org.verbenamast.core.manifest;

/** The kind of a route's requests: whether they may be repeated, and whether their answers are large. */
public enum RequestKind {
    /** Requests that may run any number of times, with small answers. */
    SAFE(true, false),
    /** Requests that run at most once. */
    UNSAFE(false, false),
    /** Requests that may run any number of times and whose answers are large. */
    DOWNLOAD(true, true);

    private final boolean repeatable;
    private final boolean largeAnswers;

    RequestKind(boolean repeatable, boolean largeAnswers) {
        this.repeatable = repeatable;
        this.largeAnswers = largeAnswers;
    }

    /**
     * Returns whether requests of this kind are idempotent.
     *
     * @return whether a request may run more than once
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Returns whether answers are large, in which case they should not cross availability zones.
     *
     * @return whether answers are large
     */
    public boolean hasLargeAnswers() {
        return largeAnswers;
    }
}
