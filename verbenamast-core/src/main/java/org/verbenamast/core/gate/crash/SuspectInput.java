package org.verbenamast.core.gate.crash;

import java.util.Objects;

/**
 * What an event tells a suspected request.
 *
 * @param incident the id of the incident, or an empty text for other events
 */
public record SuspectInput(String incident) {

    /** The input of events that tell nothing more. */
    public static final SuspectInput NONE = new SuspectInput("");

    /** Checks the incident. */
    public SuspectInput {
        Objects.requireNonNull(incident, "incident");
    }
}
