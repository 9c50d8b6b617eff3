package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Heartbeat;

/**
 * What is known of the server beside this node.
 *
 * @param last the newest heartbeat
 * @param coldUntil when it bears full load, in nanoseconds
 * @param leavingSince when it was first told that its leaving is known, in nanoseconds; 0 where it stays
 */
public record BackendData(Optional<Heartbeat> last, long coldUntil, long leavingSince) {

    /** Checks the heartbeat. */
    public BackendData {
        Objects.requireNonNull(last, "last");
    }

    static BackendData none() {
        return new BackendData(Optional.empty(), 0, 0);
    }

    BackendData heard(Heartbeat beat, long now) {
        long cold = now + Timing.millisToNanos(beat.coldMillis());
        return new BackendData(Optional.of(beat), cold, leavingSince);
    }

    BackendData leaving(long now) {
        return new BackendData(last, coldUntil, leavingSince == 0 ? now : leavingSince);
    }

    BackendData staying() {
        return new BackendData(last, coldUntil, 0);
    }
}
