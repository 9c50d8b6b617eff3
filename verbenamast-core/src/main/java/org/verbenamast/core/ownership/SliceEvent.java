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
    /** The requests at the backend server take too long to wait for. */
    DRAIN_DUE,
    /** The grant of the next owner is being written. */
    PASS,
    /** The row had another version: nothing that this node wrote can take effect any more. */
    CONFLICTED,
    /** The write of the next grant certainly had no effect. */
    NOT_PASSED,
    /** The write of the next grant may still take effect. */
    PASS_UNKNOWN,
    /** A new move may start. */
    REST_DUE,
    /** The table service holds another owner now. */
    PASSED_ON
}
