package org.verbenamast.core.lease;

/** The events in the chart of a take-over. */
public enum TakeoverEvent {
    /** The take-over begins. */
    BEGUN,
    /** The table service returned the holder's row. */
    ROW_READ,
    /** The read returned no row, or the write of the end was answered and the holder has not ended. */
    NOT_DONE,
    /** A lease peer answered that it has sealed the holder. */
    SEAL_ANSWERED,
    /** The requests to seal the holder are due again. */
    ASK_DUE,
    /** The leases that the lease peers had granted have expired. */
    WAIT_ENDED,
    /** The row is due to be read again. */
    RETRY_DUE,
    /** The holder requested a lease from this node, and this node granted it. */
    HOLDER_HEARD,
    /** The holder's incarnation has ended. */
    HOLDER_ENDED
}
