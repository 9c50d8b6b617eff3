package org.verbenamast.core.backend;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.keys.KeyGrant;

/** The answer to a notice of the backend server beside the node. */
public sealed interface NoticeEffect extends Effect.RelayEffect {

    /**
     * Returns which notice is answered.
     *
     * @return the number of the call
     */
    long callId();

    /**
     * Confirms a notice.
     *
     * @param callId the number of the call
     * @param grant the keys that are granted to the server, or empty where its keys stay as they are
     */
    record Confirm(long callId, Optional<KeyGrant> grant) implements NoticeEffect {

        /** Checks the grant. */
        public Confirm {
            Objects.requireNonNull(grant, "grant");
        }
    }

    /**
     * Answers that a notice is not confirmed.
     *
     * @param callId the number of the call
     * @param reason the reason
     */
    record Reject(long callId, NoticeRejection reason) implements NoticeEffect {

        /** Checks the reason. */
        public Reject {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
