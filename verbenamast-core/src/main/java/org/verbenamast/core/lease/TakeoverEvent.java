package org.verbenamast.core.lease;

/** What may happen to a take-over. */
public enum TakeoverEvent {
    /** The take-over begins. */
    BEGUN,
    /** The table service showed the holder's row. */
    ROW_READ,
    /** The table service gave no answer that helps. */
    NOT_DONE,
    /** A lease peer answered. */
    SEAL_ANSWERED,
    /** It is time to ask the lease peers again. */
    ASK_DUE,
    /** What the lease peers had promised has run out. */
    WAIT_ENDED,
    /** It is time to read the row again. */
    RETRY_DUE,
    /** The holder asked this node to vouch, and it did. */
    HOLDER_HEARD,
    /** The holder's incarnation is over. */
    HOLDER_ENDED
}
