package org.verbenamast.core.membership;

/** The tags of the states in the membership chart. */
public enum MemberTag {
    /** This node's row has been written, and the node is a member of the fleet. */
    JOINED,
    /** The node is stopping: it admits no new requests and passes its slices on. */
    STOPPING
}
