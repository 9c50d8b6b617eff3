package org.verbenamast.core.request;

/** The methods that callers may use. */
public enum Method {
    /** Reads. */
    GET(true),
    /** Reads the headers alone. */
    HEAD(true),
    /** Replaces. */
    PUT(true),
    /** Removes. */
    DELETE(true),
    /** Does something that must not be repeated. */
    POST(false),
    /** Changes a part; must not be repeated. */
    PATCH(false);

    private final boolean idempotent;

    Method(boolean idempotent) {
        this.idempotent = idempotent;
    }

    /**
     * Tells whether running a request twice has the effect of running it once.
     *
     * @return whether it has
     */
    public boolean idempotent() {
        return idempotent;
    }
}
