package org.verbenamast.core.backend;

import java.util.Optional;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.keys.KeyGrant;
import org.verbenamast.core.roster.Heartbeat;

/** What {@link NoticeController} needs of the rest of a node. */
public interface NoticeHandler {

    /**
     * Returns whether notices can be handled.
     *
     * @return whether the node knows what its earlier processes have recorded
     */
    boolean isReady();

    /**
     * Handles a notice.
     *
     * @param notice the notice
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return why it must not be confirmed; empty if it was applied
     */
    Optional<NoticeRejection> handle(ServerNotice notice, long now, Effects effects);

    /**
     * Returns whether the leave that a server has announced outlives this process.
     *
     * @param id the server's id
     * @return whether the node's row in the store has it
     */
    boolean isLeaveRecorded(String id);

    /**
     * Grants keys to the server with the answer to a heartbeat.
     *
     * @param heartbeat the heartbeat, which has been handled
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return the keys that are granted, or empty where the server's keys stay as they are
     */
    Optional<KeyGrant> grant(Heartbeat heartbeat, long now, Effects effects);
}
