package org.verbenamast.core.gate.crash;

/** The marks that the chart of a node that has just started gives its states. */
public enum BootstrapTag {
    /** The node may give requests to its backend server. */
    READY
}
