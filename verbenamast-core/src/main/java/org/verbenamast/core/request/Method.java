package org.verbenamast.core.request;

/** The HTTP methods that callers may use. */
public enum Method {
    /** Reads a resource. */
    GET(true),
    /** Reads only the headers of a resource. */
    HEAD(true),
    /** Replaces a resource. */
    PUT(true),
    /** Removes a resource. */
    DELETE(true),
    /** Performs an action that must not be repeated. */
    POST(false),
    /** Changes part of a resource; must not be repeated. */
    PATCH(false);

    private final boolean idempotent;

    Method(boolean idempotent) {
        this.idempotent = idempotent;
    }

    /**
     * Returns whether executing a request twice has the same effect as executing it once.
     *
     * @return true if the method is idempotent
     */
    public boolean idempotent() {
        return idempotent;
    }
}
