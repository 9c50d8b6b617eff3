package org.verbenamast.core.membership;

/** The marks that the chart of this node's own membership gives its states. */
public enum MemberTag {
    /** The row is written and names this node as one that serves. */
    JOINED,
    /** The node is stopping: it admits nothing new and passes its slices on. */
    STOPPING
}
