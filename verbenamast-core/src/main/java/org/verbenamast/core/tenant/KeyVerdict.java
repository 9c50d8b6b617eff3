package org.verbenamast.core.tenant;

/** What a caller's key tells of a request. */
public enum KeyVerdict {
    /** The request belongs to no tenant and needs none. */
    NOT_NEEDED(false),
    /** The key is a tenant's. */
    KNOWN(false),
    /** The request has no key, or an empty one. */
    NO_KEY(true),
    /** The request has more than one key. */
    REPEATED_KEY(true),
    /** The key is no tenant's. */
    UNKNOWN_KEY(true),
    /** The manifest that came into force while the request waited has no such key. */
    KEY_WITHDRAWN(true);

    private final boolean refused;

    KeyVerdict(boolean refused) {
        this.refused = refused;
    }

    /**
     * Returns whether a request must not be sent to a server.
     *
     * @return whether the caller is not identified
     */
    public boolean isRefused() {
        return refused;
    }
}
