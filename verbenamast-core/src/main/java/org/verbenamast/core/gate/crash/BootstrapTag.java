package org.verbenamast.core.gate.crash;

/** The tags of the states of chart {@code bootstrap}. */
public enum BootstrapTag {
    /** The node may send requests to its backend server. */
    READY
}
