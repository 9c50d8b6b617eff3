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

/** What may reach the decisions of a node from outside. */
public sealed interface NodeInput {

    /**
     * Hands this input to the method of a node that takes its kind.
     *
     * @param node the node
     * @param now the monotonic time, in nanoseconds
     */
    void deliver(NodeCore node, long now);

    /**
     * A message came from a member.
     *
     * @param from the sender
     * @param message the message
     */
    record PeerReceived(MemberId from, PeerMessage message) implements NodeInput {

        /** Checks the parts. */
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
     * A message to a member was certainly not sent.
     *
     * @param to the receiver
     * @param message the message
     */
    record PeerNotSent(MemberId to, PeerMessage message) implements NodeInput {

        /** Checks the parts. */
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
     * The link to a member broke; messages sent on it may or may not have arrived.
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
     * A caller sent a request.
     *
     * @param id the identity that the request was given
     * @param request the request
     * @param deadline the monotonic time at which the caller gives up, in nanoseconds
     */
    record CallerArrived(RequestId id, CallerRequest request, long deadline) implements NodeInput {

        /** Checks the parts. */
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
     * A caller closed its connection.
     *
     * @param id the request's identity
     */
    record CallerGone(RequestId id) implements NodeInput {

        /** Checks the identity. */
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
     * @param id the request's identity
     * @param reply how it ended
     */
    record ServerReplied(RequestId id, ServerReply reply) implements NodeInput {

        /** Checks the parts. */
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
     * The backend server announced itself.
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
     * The table service answered a call.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    record StoreReplied(long callId, StoreReply reply) implements NodeInput {

        /** Checks the answer. */
        public StoreReplied {
            Objects.requireNonNull(reply, "reply");
        }

        @Override
        public void deliver(NodeCore node, long now) {
            node.onStoreReplied(callId, reply, now);
        }
    }

    /**
     * An operator gave a command about a change of the table.
     *
     * @param call the number under which the operator waits
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
     * An operator marked an availability zone or a backend server.
     *
     * @param call the number under which the operator waits
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
     * An operator asked for rows of the table service.
     *
     * @param call the number under which the operator waits
     * @param request which rows
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

    /** The process was asked to stop. */
    record StopRequested() implements NodeInput {

        @Override
        public void deliver(NodeCore node, long now) {
            node.onStopRequested(now);
        }
    }

    /** Time has passed. */
    record Tick() implements NodeInput {

        @Override
        public void deliver(NodeCore node, long now) {
            // Every input advances the node's timers; this one does nothing more.
        }
    }
}
