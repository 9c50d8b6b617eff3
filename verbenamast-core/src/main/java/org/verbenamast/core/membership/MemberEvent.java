package org.verbenamast.core.membership;

/** The events of the membership chart. */
public enum MemberEvent {
    /** The backend server sent an announcement. */
    ANNOUNCED,
    /** The table service committed this node's row. */
    WRITTEN,
    /** The commit of this node's row failed or conflicted with another write. */
    NOT_WRITTEN,
    /** The delay before the next attempt to write the row has passed. */
    RETRY_DUE,
    /** The backend server is gone or asked for no new work. */
    SERVER_WITHDRAWN,
    /** The backend server accepts work again. */
    SERVER_BACK,
    /** The node was asked to stop. */
    STOP,
    /** This node owns no slice and runs no request any more. */
    EMPTIED,
    /** A row from elsewhere says that this incarnation has ended. */
    ENDED_BY_OTHERS
}
