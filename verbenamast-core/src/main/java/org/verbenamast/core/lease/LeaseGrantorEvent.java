package org.verbenamast.core.lease;

/** The events in the chart of the lease that this node grants a lease holder. */
public enum LeaseGrantorEvent {
    /** The holder requests a lease from this node. */
    VOUCH_ASKED,
    /** A member asks this node to seal the holder, that is, never to grant this incarnation a lease again. */
    SEAL_ASKED,
    /** This node has not granted the holder a lease for as long as it waits before a take-over. */
    SILENCE_ENDED,
    /** The holder's incarnation has ended. */
    HOLDER_ENDED
}
