package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.Heartbeat;
import org.verbenamast.core.roster.ServerState;

/**
 * A message of the backend server to its node: a heartbeat, or the notice that it leaves, which has only its id.
 *
 * @param id the server's id
 * @param heartbeat the heartbeat, or empty for a leave notice
 */
public record ServerNotice(String id, Optional<Heartbeat> heartbeat) {

    /** Checks that the id is not blank and the heartbeat not null. */
    public ServerNotice {
        Checks.notBlank("id", id);
        Objects.requireNonNull(heartbeat, "heartbeat");
    }

    /**
     * Returns a heartbeat as a notice.
     *
     * @param heartbeat the heartbeat
     * @return the notice
     */
    public static ServerNotice of(Heartbeat heartbeat) {
        return new ServerNotice(heartbeat.incarnation().id(), Optional.of(heartbeat));
    }

    /**
     * Returns the notice that a server leaves.
     *
     * @param id the server's id
     * @return the notice
     */
    public static ServerNotice leaving(String id) {
        return new ServerNotice(id, Optional.empty());
    }

    /**
     * Returns whether the server announces that it leaves.
     *
     * @return whether it accepts no new requests
     */
    public boolean announcesLeave() {
        return heartbeat.filter(sent -> sent.state() == ServerState.READY).isEmpty();
    }
}
