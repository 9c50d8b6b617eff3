package org.verbenamast.core.admission;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;

/** An effect of the admission controller on a request; the relay carries it out. */
public sealed interface AdmissionEffect extends Effect.RelayEffect {

    /**
     * Returns the number of the request.
     *
     * @return the number under which this node keeps the request
     */
    long id();

    /**
     * Sends the request to the server.
     *
     * @param id the request's number
     */
    record Dispatch(long id) implements AdmissionEffect {}

    /**
     * Reports to the sender that the request has not run and will not run.
     *
     * @param id the request's number
     * @param reason why the request was refused
     * @param retryAfterMillis the expected time until the server has room, in milliseconds; 0 if unknown
     */
    record Refuse(long id, Refusal reason, long retryAfterMillis) implements AdmissionEffect {

        /** Checks the reason. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Cancels the request at the server; the sender no longer waits for it.
     *
     * @param id the request's number
     */
    record Cancel(long id) implements AdmissionEffect {}

    /**
     * Cancels the request at the server and reports to the sender that its deadline has passed.
     *
     * @param id the request's number
     */
    record CancelOverdue(long id) implements AdmissionEffect {}
}
