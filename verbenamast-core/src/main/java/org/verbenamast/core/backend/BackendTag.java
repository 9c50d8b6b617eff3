package org.verbenamast.core.backend;

/** The tags of the states of chart {@code backend}. */
public enum BackendTag {
    /** The server has sent a heartbeat recently. */
    PRESENT,
    /** The server is about to stop and accepts no new requests. */
    LEAVING
}
