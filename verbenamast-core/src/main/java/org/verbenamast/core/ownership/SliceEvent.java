package org.verbenamast.core.ownership;

/** The events of the chart of a slice that this node owns. */
public enum SliceEvent {
    /** The node received the committed grant that makes it the owner. */
    GRANTED,
    /** The settle delay has passed: requests of the previous owner can no longer run. */
    SETTLED,
    /** A request for the slice was sent to the backend server. */
    STARTED,
    /** The backend server has finished a request for the slice. */
    FINISHED,
    /** The plan moves the slice to another member, or changes the target of a move. */
    MOVE,
    /** The move is cancelled because the plan now keeps the slice at this node. */
    STAY,
    /** The drain timeout has passed and the backend server still has requests for the slice. */
    DRAIN_DUE,
    /** The write of the next owner's grant starts. */
    PASS,
    /** The row had another version, so no write of this node that is still under way can take effect. */
    CONFLICTED,
    /** The write of the next owner's grant failed and certainly had no effect. */
    NOT_PASSED,
    /** The write of the next owner's grant failed but may still take effect. */
    PASS_UNKNOWN,
    /** The backoff after a cancelled or failed move has passed: a new move may start. */
    REST_DUE,
    /** The chunk's row in the table service has another grant, so this node no longer owns the slice. */
    PASSED_ON
}
