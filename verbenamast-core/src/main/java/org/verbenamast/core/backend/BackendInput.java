package org.verbenamast.core.backend;

import java.util.Optional;

import org.verbenamast.core.roster.Heartbeat;

/**
 * The input of the events of the server beside this node.
 *
 * @param beat the heartbeat, where one came
 */
public record BackendInput(Optional<Heartbeat> beat) {

    static final BackendInput NONE = new BackendInput(Optional.empty());
}
