package org.verbenamast.core.store;

import org.verbenamast.core.effect.Effects;

/** Handles the reply to a call to the table service. */
@FunctionalInterface
public interface StoreContinuation {

    /**
     * Handles the reply, or the failure after the last attempt.
     *
     * @param reply the reply
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void onReply(StoreReply reply, long now, Effects effects);
}
