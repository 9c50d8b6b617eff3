package org.verbenamast.core.stop;

/** The tags of the states of chart {@code stop}, the planned stop of a node. */
public enum StopTag {
    /** The node takes new requests. */
    TAKES_REQUESTS,
    /** The node is going to exit. */
    STOPPING
}
