package org.verbenamast.core.manifest;

/** The kind of a route's requests: whether they may be repeated, and whether their answers or bodies are large. */
public enum RequestKind {
    /** Requests that may run any number of times, with small answers. */
    SAFE(true, false, false),
    /** Requests that run at most once. */
    UNSAFE(false, false, false),
    /** Requests that may run any number of times and whose answers are large. */
    DOWNLOAD(true, true, false),
    /** Requests that run at most once and whose bodies are large. */
    UPLOAD(false, false, true);

    private final boolean repeatable;
    private final boolean largeAnswers;
    private final boolean largeBodies;

    RequestKind(boolean repeatable, boolean largeAnswers, boolean largeBodies) {
        this.repeatable = repeatable;
        this.largeAnswers = largeAnswers;
        this.largeBodies = largeBodies;
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

    /**
     * Returns whether the bodies of requests are large.
     *
     * @return whether bodies are large
     */
    public boolean hasLargeBodies() {
        return largeBodies;
    }
}
