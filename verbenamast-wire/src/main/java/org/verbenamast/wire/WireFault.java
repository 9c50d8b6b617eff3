package org.verbenamast.wire;

/** The kinds of faults in bytes from outside. */
public enum WireFault {
    /** A message of a kind that this version does not know; it is skipped. */
    UNKNOWN_KIND(false),
    /** A message with a value that is not allowed; it is skipped. */
    MALFORMED(false),
    /** A row that can't be read; it is skipped. */
    UNREADABLE_ROW(false),
    /** A connection that is meant for another member, such as an earlier run of this node. */
    MISADDRESSED(true),
    /** A frame that can't be read; nothing behind it can be trusted. */
    BROKEN_FRAME(true);

    private final boolean endsLink;

    WireFault(boolean endsLink) {
        this.endsLink = endsLink;
    }

    /**
     * Tells whether the link has to be closed.
     *
     * @return whether it has
     */
    public boolean endsLink() {
        return endsLink;
    }
}
