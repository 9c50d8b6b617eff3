package org.verbenamast.core.backend;

/** The tags of the states of chart {@code backend}. */
public enum BackendTag {
    /** The node knows what its earlier processes have recorded of the server. */
    RESTORED,
    /** The server has sent a heartbeat recently. */
    PRESENT,
    /** The server has announced that it stops and accepts no new requests. */
    LEAVING
}
