package org.verbenamast.core.ownership;

/** What may happen to a slice that this node owns. */
public enum SliceEvent {
    /** The grant is known to be committed. */
    GRANTED,
    /** Requests of the earlier owner can no longer run. */
    SETTLED,
    /** The backend server is given a request for the slice. */
    STARTED,
    /** The backend server is done with a request for the slice. */
    FINISHED,
    /** The slice is to move to another member. */
    MOVE,
    /** The move is called off. */
    STAY,
    /** The table service holds another owner now. */
    PASSED_ON
}
