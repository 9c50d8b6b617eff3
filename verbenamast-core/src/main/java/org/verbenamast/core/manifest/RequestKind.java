package org.verbenamast.core.manifest;

/** What a route says of its requests: whether they may run again and how large their answers are. */
public enum RequestKind {
    /** Requests that may run any number of times. */
    SAFE(true, false),
    /** Requests that run at most once. */
    UNSAFE(false, false),
    /** Requests that may run any number of times and whose answers are large. */
    DOWNLOAD(true, true);

    private final boolean repeatable;
    private final boolean large;

    RequestKind(boolean repeatable, boolean large) {
        this.repeatable = repeatable;
        this.large = large;
    }

    /**
     * Tells whether a request of this kind is idempotent.
     *
     * @return whether it may run more than once
     */
    public boolean repeatable() {
        return repeatable;
    }

    /**
     * Tells whether answers are large, so that they should stay within an availability zone.
     *
     * @return whether answers are large
     */
    public boolean large() {
        return large;
    }
}
