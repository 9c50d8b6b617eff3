package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.Member;

/**
 * The input of an event of chart {@code backend}.
 *
 * @param heartbeat the heartbeat, or empty for other events
 * @param row the node's own row as an earlier process of the node left it, or empty for other events and without a row
 */
public record BackendInput(Optional<Heartbeat> heartbeat, Optional<Member> row) {

    static final BackendInput NONE = new BackendInput(Optional.empty(), Optional.empty());

    /** Checks that no component is null. */
    public BackendInput {
        Objects.requireNonNull(heartbeat, "heartbeat");
        Objects.requireNonNull(row, "row");
    }

    static BackendInput of(Heartbeat heartbeat) {
        return new BackendInput(Optional.of(heartbeat), Optional.empty());
    }

    static BackendInput ofRow(Optional<Member> row) {
        return new BackendInput(Optional.empty(), row);
    }
}
