package org.verbenamast.core.store;

/** Why the table service gave no usable answer. */
public enum StoreFailure {
    /** The request was refused or never sent: it has had no effect. */
    UNAVAILABLE(false),
    /** The table service asked for fewer requests: it has had no effect. */
    THROTTLED(false),
    /** No answer came: a transaction may have taken effect. */
    NO_ANSWER(true),
    /** A row in the answer can't be read. */
    UNREADABLE(true);

    private final boolean effectUnknown;

    StoreFailure(boolean effectUnknown) {
        this.effectUnknown = effectUnknown;
    }

    /**
     * Tells whether a transaction may have taken effect.
     *
     * @return whether the effect has to be read back
     */
    public boolean effectUnknown() {
        return effectUnknown;
    }
}
