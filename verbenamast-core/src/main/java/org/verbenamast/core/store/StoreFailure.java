package org.verbenamast.core.store;

/** Why the table service returned no usable reply. */
public enum StoreFailure {
    /** The request was refused or never sent, so it had no effect. */
    UNAVAILABLE(false),
    /** The table service rejected the request to limit the request rate, so it had no effect. */
    THROTTLED(false),
    /** No reply came. A transaction may have taken effect. */
    NO_ANSWER(true),
    /** A row in the reply can't be decoded. A transaction may have taken effect. */
    UNREADABLE(true);

    private final boolean effectUnknown;

    StoreFailure(boolean effectUnknown) {
        this.effectUnknown = effectUnknown;
    }

    /**
     * Returns whether a transaction may have taken effect.
     *
     * @return true if only reading a row back shows whether it did
     */
    public boolean effectUnknown() {
        return effectUnknown;
    }
}
