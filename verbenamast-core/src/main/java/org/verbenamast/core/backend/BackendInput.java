package org.verbenamast.core.backend;

import java.util.Optional;

import org.verbenamast.core.roster.Heartbeat;

/**
 * The input of an event of chart {@code backend}.
 *
 * @param heartbeat the heartbeat, or empty for other events
 */
public record BackendInput(Optional<Heartbeat> heartbeat) {

    static final BackendInput NONE = new BackendInput(Optional.empty());
}
