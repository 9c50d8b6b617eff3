package org.verbenamast.core.admission;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;

/** What the gate wants done with a request. */
public sealed interface AdmissionEffect extends Effect.Relayed {

    /**
     * Returns which request.
     *
     * @return the number under which this node keeps it
     */
    long id();

    /**
     * Passes the request to the server.
     *
     * @param id the request's number
     */
    record Dispatch(long id) implements AdmissionEffect {}

    /**
     * Tells the sender that the request has not run and will not.
     *
     * @param id the request's number
     * @param reason why
     * @param retryAfterMillis when room is expected, in milliseconds from now
     */
    record Refuse(long id, Refusal reason, long retryAfterMillis) implements AdmissionEffect {

        /** Checks the reason. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Stops the request at the server; nobody waits for it.
     *
     * @param id the request's number
     */
    record Cancel(long id) implements AdmissionEffect {}

    /**
     * Stops the request at the server and tells the sender that its time is over.
     *
     * @param id the request's number
     */
    record CancelOverdue(long id) implements AdmissionEffect {}
}
