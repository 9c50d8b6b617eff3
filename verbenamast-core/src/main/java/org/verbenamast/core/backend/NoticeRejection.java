package org.verbenamast.core.backend;

/** Why a node does not confirm a notice of the backend server beside it. The text of each constant is for log lines. */
public enum NoticeRejection {
    /** The notice names another service or address than those of the server beside the node. */
    OTHER_SERVER("it does not name the server beside this node"),
    /** The service is keyed, and the heartbeat does not report the server's keys. */
    NO_KEY_REPORT("it does not report the keys of the server"),
    /** A newer heartbeat of the incarnation has been handled. */
    OUTDATED("a newer one has been handled"),
    /** The incarnation that is known started later than the sender. */
    EARLIER_INCARNATION("a later incarnation is known"),
    /** No heartbeat of a server with this id has arrived. */
    UNKNOWN_SERVER("no server with this id is known"),
    /** The notice names only an id, which an earlier incarnation had too. */
    AMBIGUOUS_ID("an earlier incarnation had the same id"),
    /** An earlier process of the node may have handled newer heartbeats, so that released keys may be held again. */
    ORDER_UNKNOWN("newer ones may have been handled before this node started"),
    /** The node could not read its own row, or could not write it, in time. */
    NOT_RECORDED("the store did not answer in time");

    private final String text;

    NoticeRejection(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}
