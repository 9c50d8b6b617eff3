package org.verbenamast.core.gate.crash;

import java.util.Objects;

/**
 * The input of an event of chart {@code suspect}.
 *
 * @param incident the id of the incident, or an empty string for other events
 */
public record SuspectInput(String incident) {

    /** The input of events that carry no data. */
    public static final SuspectInput NONE = new SuspectInput("");

    /** Checks that the incident is not null. */
    public SuspectInput {
        Objects.requireNonNull(incident, "incident");
    }
}
