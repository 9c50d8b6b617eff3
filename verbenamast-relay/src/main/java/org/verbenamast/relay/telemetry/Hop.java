package org.verbenamast.relay.telemetry;

import java.util.Locale;

/** The parts of a node that decide about a request. */
public enum Hop {
    /** The node that took the request from its caller. */
    ENTRY,
    /** The node beside the server. */
    GATE;

    /**
     * Returns the name in log lines and metrics.
     *
     * @return the name
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
