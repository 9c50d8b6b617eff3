package org.verbenamast.core.node;

import java.util.Objects;

import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.MarkRow;

/** An event from outside that a node handles. */
public sealed interface NodeInput {

    /**
     * Calls the method of the node that handles this kind of input.
     *
     * @param node the node
     * @param now the monotonic time, in nanoseconds
     */
    void deliver(NodeCore node, long now);

    /**
     * A message arrived from a member.
     *
     * @param from the sender
     * @param message the message
     */
    record PeerReceived(MemberId from, PeerMessage message) implements NodeInput {

        /** Checks the components. */
        public PeerReceived {
            Objects.requireNonNull(from, "from");
            Objects.requireNonNull(message, "message");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onPeerReceived(from, message, now);
        }
    }

    /**
     * A message to a member was definitely not sent.
     *
     * @param to the receiver
     * @param message the message
     */
    record PeerNotSent(MemberId to, PeerMessage message) implements NodeInput {

        /** Checks the components. */
        public PeerNotSent {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(message, "message");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onPeerNotSent(to, message, now);
        }
    }

    /**
     * The connection to a member was lost; messages sent on it may or may not have arrived.
     *
     * @param member the member
     */
    record PeerLinkLost(MemberId member) implements NodeInput {

        /** Checks the member. */
        public PeerLinkLost {
            Objects.requireNonNull(member, "member");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onPeerLinkLost(member, now);
        }
    }

    /**
     * A request arrived from a caller at this node, its entry node.
     *
     * @param id the ID that this node assigned to the request
     * @param request the request
     * @param deadline the monotonic time after which the caller no longer waits, in nanoseconds
     */
    record CallerArrived(RequestId id, CallerRequest request, long deadline) implements NodeInput {

        /** Checks the components. */
        public CallerArrived {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(request, "request");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onCallerArrived(this, now);
        }
    }

    /**
     * The caller of a request closed its connection.
     *
     * @param id the request's ID
     */
    record CallerGone(RequestId id) implements NodeInput {

        /** Checks the ID. */
        public CallerGone {
            Objects.requireNonNull(id, "id");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onCallerGone(id, now);
        }
    }

    /**
     * A call to the backend server ended.
     *
     * @param id the request's ID
     * @param reply the outcome of the call
     */
    record ServerReplied(RequestId id, ServerReply reply) implements NodeInput {

        /** Checks the components. */
        public ServerReplied {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(reply, "reply");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onServerReplied(id, reply, now);
        }
    }

    /**
     * An announcement arrived from the backend server beside this node.
     *
     * @param announcement the announcement
     */
    record ServerAnnounced(ServerAnnouncement announcement) implements NodeInput {

        /** Checks the announcement. */
        public ServerAnnounced {
            Objects.requireNonNull(announcement, "announcement");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onServerAnnounced(announcement, now);
        }
    }

    /**
     * A call to the table service ended with a reply or a failure.
     *
     * @param callId the ID of the call to the table service
     * @param reply the reply or failure
     */
    record StoreReplied(long callId, StoreReply reply) implements NodeInput {

        /** Checks the reply. */
        public StoreReplied {
            Objects.requireNonNull(reply, "reply");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onStoreReplied(callId, reply, now);
        }
    }

    /**
     * An operator submitted a command on a change of the operators' table.
     *
     * @param callId the ID of the operator's call, to which the reply is sent
     * @param command the command
     */
    record ChangeCommanded(long callId, ChangeCommand command) implements NodeInput {

        /** Checks the command. */
        public ChangeCommanded {
            Objects.requireNonNull(command, "command");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onChangeCommanded(callId, command, now);
        }
    }

    /**
     * An operator submitted a mark on an availability zone or a backend server.
     *
     * @param callId the ID of the operator's call, to which the reply is sent
     * @param mark the mark
     */
    record MarkCommanded(long callId, MarkRow mark) implements NodeInput {

        /** Checks the mark. */
        public MarkCommanded {
            Objects.requireNonNull(mark, "mark");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onMarkCommanded(callId, mark, now);
        }
    }

    /**
     * An operator requested rows of the table service.
     *
     * @param callId the ID of the operator's call, to which the reply is sent
     * @param request the request for the rows
     */
    record RowsRequested(long callId, StoreRequest request) implements NodeInput {

        /** Checks the request. */
        public RowsRequested {
            Objects.requireNonNull(request, "request");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onRowsRequested(callId, request, now);
        }
    }

    /** The process was requested to stop. */
    record StopRequested() implements NodeInput {

        @Override
        public void deliver(NodeCore node, long now) {
            node.onStopRequested(now);
        }
    }

    /** A timer fired; nothing else happened. */
    record Tick() implements NodeInput {

        @Override
        public void deliver(NodeCore node, long now) {
            // NodeCore#handle advances the timers after every input; a tick needs nothing else.
        }
    }
}
