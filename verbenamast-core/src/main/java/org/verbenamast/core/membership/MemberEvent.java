package org.verbenamast.core.membership;

/** What may happen to this node's own membership. */
public enum MemberEvent {
    /** The backend server announced itself. */
    ANNOUNCED,
    /** The row was written. */
    WRITTEN,
    /** The row was not written. */
    NOT_WRITTEN,
    /** It is time to try again. */
    RETRY_DUE,
    /** The backend server is gone or wants no new work. */
    SERVER_WITHDRAWN,
    /** The backend server takes work again. */
    SERVER_BACK,
    /** The node is asked to stop. */
    STOP,
    /** Nothing is left that this node owns or runs. */
    EMPTIED,
    /** The row says that this incarnation has ended. */
    ENDED_BY_OTHERS
}
