package org.verbenamast.core.backend;

/** The events of chart {@code notice-request}, a notice of the backend server. */
public enum NoticeEvent {
    /** The notice was applied. */
    APPLIED,
    /** The notice was not applied. */
    REJECTED,
    /** The store has what the server announced. */
    RECORDED,
    /** The sender stops waiting for the answer shortly. */
    EXPIRED
}
