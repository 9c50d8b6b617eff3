package org.verbenamast.core.stop;

import org.verbenamast.core.effect.Effect;

/** An effect of the planned stop of a node; the relay carries it out. */
public enum StopEffect implements Effect.RelayEffect {
    /** Refuses all new requests from now on. */
    REFUSE_NEW,
    /** Gives every request without an answer a failure, as if its deadline had passed. */
    ANSWER_OPEN,
    /** Ends the process. */
    EXIT
}
