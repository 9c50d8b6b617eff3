package org.verbenamast.core.backend;

import java.util.Objects;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The incarnation of the backend server that a node knows. Decides whether another incarnation precedes it and whether
 * a notice that names only the server's id can be meant for it.
 *
 * @param incarnation the incarnation
 * @param idReused whether the incarnation before it had the same id
 * @param knownSince the monotonic time since which the incarnation is known, in nanoseconds
 * @param lastNoticeAt the monotonic time of its last notice, in nanoseconds
 */
public record KnownServer(ServerIncarnation incarnation, boolean idReused, long knownSince, long lastNoticeAt) {

    /** Longest time for which a notice may be delayed on its way, in nanoseconds. */
    static final long MAX_NOTICE_DELAY_NANOS = Timing.millisToNanos(15_000);

    /** Checks that the incarnation is not null. */
    public KnownServer {
        Objects.requireNonNull(incarnation, "incarnation");
    }

    /** Returns the first incarnation that a node knows. */
    static KnownServer first(ServerIncarnation incarnation, long now) {
        return new KnownServer(incarnation, false, now, now);
    }

    /** Returns what is known after a heartbeat of an incarnation, which may be the one known before. */
    KnownServer after(ServerIncarnation sender, long now) {
        if (sender.equals(incarnation)) {
            return withNoticeAt(now);
        }
        return new KnownServer(sender, sender.id().equals(incarnation.id()), now, now);
    }

    KnownServer withNoticeAt(long now) {
        return new KnownServer(incarnation, idReused, knownSince, now);
    }

    /**
     * Returns whether another incarnation has ended before this one started. The start times tell for as long as its
     * notices may still arrive; later, they may be wrong, since a host's clock can be set back.
     */
    boolean isPrecededBy(ServerIncarnation other, long now) {
        return other.startedAt() < incarnation.startedAt() && now < lastNoticeAt + MAX_NOTICE_DELAY_NANOS;
    }

    /** Returns whether a notice that names only this id may have been sent by the incarnation before. */
    boolean isIdAmbiguous(long now) {
        return idReused && now < knownSince + MAX_NOTICE_DELAY_NANOS;
    }
}
