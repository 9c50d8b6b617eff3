package org.verbenamast.core.gate.crash;

/** What may happen while a node that has just started learns which requests are suspected. */
public enum BootstrapEvent {
    /** The node runs. */
    BEGIN,
    /** The node has learnt of another member. */
    MEMBER_LEARNT,
    /** A member told what it suspects. */
    ANSWERED,
    /** The node has waited long enough. */
    PATIENCE_OVER
}
