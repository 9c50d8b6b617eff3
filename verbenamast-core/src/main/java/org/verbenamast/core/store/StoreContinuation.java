package org.verbenamast.core.store;

import org.verbenamast.core.effect.Effects;

/** What a decision does when the table service has answered it. */
@FunctionalInterface
public interface StoreContinuation {

    /**
     * Goes on.
     *
     * @param reply the reply
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void onReply(StoreReply reply, long now, Effects effects);
}
