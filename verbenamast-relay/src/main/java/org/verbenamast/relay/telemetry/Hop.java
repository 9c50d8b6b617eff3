package org.verbenamast.relay.telemetry;

import java.util.Locale;

/** The parts of a node that decide how a request ends. */
public enum Hop {
    /** The entry node, which received the request from its caller. */
    ENTRY,
    /** The admission controller ("gate") of the node beside the backend server. */
    GATE;

    /**
     * Returns the name in log lines and metrics.
     *
     * @return the constant's name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
