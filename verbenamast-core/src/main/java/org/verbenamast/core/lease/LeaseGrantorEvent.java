package org.verbenamast.core.lease;

/** What may happen to the promise that this node makes a holder. */
public enum LeaseGrantorEvent {
    /** The holder asks this node to vouch. */
    VOUCH_ASKED,
    /** A member asks this node never to vouch for the holder again. */
    SEAL_ASKED,
    /** The holder has been silent for as long as this node waits. */
    SILENCE_ENDED,
    /** The holder's incarnation is over. */
    HOLDER_ENDED
}
