package org.verbenamast.core.effect;

import java.util.Objects;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.table.CommandAnswer;

/** An action that a decision requests of the process around it, such as sending a message. Decisions do no I/O. */
public sealed interface Effect {

    /**
     * Sends a message to another member.
     *
     * @param to the receiver's incarnation
     * @param message the message
     */
    record SendToPeer(MemberId to, PeerMessage message) implements Effect {

        /** Checks that no component is null. */
        public SendToPeer {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Sends a message to a node of which only the address is known, such as a configured seed.
     *
     * @param address the address on which the receiver listens
     * @param message the message
     */
    record SendToSeed(Address address, PeerMessage message) implements Effect {

        /** Checks that no component is null. */
        public SendToSeed {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Sends a request to the table service.
     *
     * @param callId the number that identifies the reply
     * @param request the request
     */
    record CallStore(long callId, StoreRequest request) implements Effect {

        /** Checks the request. */
        public CallStore {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Sends a request to the backend server beside this node.
     *
     * @param id the request's identity
     * @param server the address on which the backend server listens
     * @param request the request
     * @param slice the number of the slice that the request's key belongs to, or -1 where the service is not keyed
     * @param epoch the fencing token of the slice's ownership, or 0 where there is none
     * @param remainingNanos the time until the deadline, in nanoseconds
     */
    record CallServer(RequestId id, Address server, CallerRequest request, int slice, long epoch, long remainingNanos)
            implements Effect {

        /** Checks that no component is null. */
        public CallServer {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(server, "server");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Notifies the backend server that no caller waits for a request any more.
     *
     * @param id the request's identity
     * @param server the address on which the backend server listens
     */
    record CancelAtServer(RequestId id, Address server) implements Effect {

        /** Checks that no component is null. */
        public CancelAtServer {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(server, "server");
        }
    }

    /**
     * Answers a caller's request.
     *
     * @param id the request's identity
     * @param outcome the result of the request
     */
    record ReplyToCaller(RequestId id, RequestOutcome outcome) implements Effect {

        /** Checks that no component is null. */
        public ReplyToCaller {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Answers an operator's command.
     *
     * @param callId the number of the operator's call
     * @param answer the result of the command
     */
    record ReplyToOperator(long callId, CommandAnswer answer) implements Effect {

        /** Checks the answer. */
        public ReplyToOperator {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * Answers an operator's query with rows of the table service.
     *
     * @param callId the number of the operator's call
     * @param reply the rows, or the reason why they can't be read
     */
    record SendRowsToOperator(long callId, StoreReply reply) implements Effect {

        /** Checks the reply. */
        public SendRowsToOperator {
            Objects.requireNonNull(reply, "reply");
        }
    }

    /**
     * Stops the process; the node has nothing left to do.
     *
     * @param reason why the process stops
     */
    record StopProcess(StopReason reason) implements Effect {

        /** Checks the reason. */
        public StopProcess {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** An effect of the relay, which forwards requests on a platform with table rows and heartbeats. */
    non-sealed interface RelayEffect extends Effect {}
}
