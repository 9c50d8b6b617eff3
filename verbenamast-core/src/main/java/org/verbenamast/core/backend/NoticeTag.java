package org.verbenamast.core.backend;

/** The tags of the states of chart {@code notice-request}. */
public enum NoticeTag {
    /** The notice has not been handled yet. */
    HELD,
    /** The notice has been handled and is confirmed once it is recorded. */
    RECORDING
}
