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

/** What a decision wants done outside. */
public sealed interface Effect {

    /**
     * Sends a message to a member.
     *
     * @param to the receiver
     * @param message the message
     */
    record SendToPeer(MemberId to, PeerMessage message) implements Effect {

        /** Checks the parts. */
        public SendToPeer {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Sends a message to a process that is known by its address alone.
     *
     * @param address where the receiver listens
     * @param message the message
     */
    record SendToSeed(Address address, PeerMessage message) implements Effect {

        /** Checks the parts. */
        public SendToSeed {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(message, "message");
        }
    }

    /**
     * Asks something of the table service.
     *
     * @param call a number under which the reply comes back
     * @param request the request
     */
    record CallStore(long callId, StoreRequest request) implements Effect {

        /** Checks the request. */
        public CallStore {
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Gives a request to the backend server beside this node.
     *
     * @param id the request's identity
     * @param server where the backend server listens
     * @param request the request
     * @param slice the slice's number, or -1 where the service is not keyed
     * @param epoch the epoch under which the slice is owned, or 0
     * @param remainingNanos the time until the deadline, in nanoseconds
     */
    record CallServer(RequestId id, Address server, CallerRequest request, int slice, long epoch, long remainingNanos)
            implements Effect {

        /** Checks the parts. */
        public CallServer {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(server, "server");
            Objects.requireNonNull(request, "request");
        }
    }

    /**
     * Tells the backend server that nobody waits for a request any more.
     *
     * @param id the request's identity
     * @param server where the backend server listens
     */
    record CancelAtServer(RequestId id, Address server) implements Effect {

        /** Checks the parts. */
        public CancelAtServer {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(server, "server");
        }
    }

    /**
     * Answers a caller.
     *
     * @param id the request's identity
     * @param outcome how the request ended
     */
    record ReplyToCaller(RequestId id, RequestOutcome outcome) implements Effect {

        /** Checks the parts. */
        public ReplyToCaller {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(outcome, "outcome");
        }
    }

    /**
     * Answers an operator's command.
     *
     * @param call the number under which the operator waits
     * @param answer the answer
     */
    record ReplyToOperator(long callId, CommandAnswer answer) implements Effect {

        /** Checks the answer. */
        public ReplyToOperator {
            Objects.requireNonNull(answer, "answer");
        }
    }

    /**
     * Gives an operator rows of the table service.
     *
     * @param call the number under which the operator waits
     * @param reply the rows, or why there are none
     */
    record SendRowsToOperator(long callId, StoreReply reply) implements Effect {

        /** Checks the reply. */
        public SendRowsToOperator {
            Objects.requireNonNull(reply, "reply");
        }
    }

    /**
     * Tells the process to exit: nothing holds it back.
     *
     * @param reason why it exits
     */
    record StopProcess(StopReason reason) implements Effect {

        /** Checks the reason. */
        public StopProcess {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Effects of the packages that relay requests on a platform with rows and heartbeats. */
    non-sealed interface RelayEffect extends Effect {}
}
