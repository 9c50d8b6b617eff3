package org.verbenamast.core.gate.crash;

/** The events of chart {@code bootstrap}: a node that has just started learns which requests are suspected. */
public enum BootstrapEvent {
    /** The node has started. */
    BEGIN,
    /** The node has learned of another member. */
    MEMBER_LEARNT,
    /** A member has sent its suspicions. */
    ANSWERED,
    /** The timeout for an answer has passed. */
    PATIENCE_OVER
}
