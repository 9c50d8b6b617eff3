package org.verbenamast.core.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.ExecutionController;
import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.lease.LeaseController;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberController;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.ownership.OwnershipController;
import org.verbenamast.core.request.RequestController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.MarkController;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.trace.DecisionLog;

/**
 * Makes all decisions of one node. It does no input or output, reads no clock and starts no thread: the caller passes
 * in each event with the current time, and executes the effects.
 *
 * <pre>{@code
 * List<Effect> effects = node.handle(new NodeInput.StopRequested(), now);
 * }</pre>
 */
public final class NodeCore {

    private static final int MAX_DECISIONS = 4_096;

    private final CoreSettings settings;
    private final DecisionLog decisions = new DecisionLog(MAX_DECISIONS);
    private final NodeControllers controllers;
    private final NodeMessages messages;
    private final Deque<NodeInput> inputsFromSelf = new ArrayDeque<>();
    private List<Effect> effects = new ArrayList<>();
    private long expectedWakeUp = Long.MAX_VALUE;

    /**
     * Creates the core of a node that has just started.
     *
     * @param settings the node's settings
     */
    public NodeCore(CoreSettings settings) {
        this.settings = settings;
        this.controllers = new NodeControllers(settings, decisions, this::emit);
        this.messages = new NodeMessages(controllers, this::emit);
    }

    /**
     * Handles an input and returns the resulting effects.
     *
     * @param input the event
     * @param now the monotonic time, in nanoseconds
     * @return the effects to execute, in order
     */
    public List<Effect> handle(NodeInput input, long now) {
        effects = new ArrayList<>();
        detectSuspension(now);
        input.deliver(this, now);
        controllers.advance(now);
        while (!inputsFromSelf.isEmpty()) {
            inputsFromSelf.poll().deliver(this, now);
        }
        expectedWakeUp = nextDue();
        return effects;
    }

    /** Notifies the lease controller if the earliest timer is so overdue that the process must have been suspended. */
    private void detectSuspension(long now) {
        if (expectedWakeUp < now - Timing.millisToNanos(settings.timing().suspensionThresholdMillis())) {
            controllers.lease().onSuspended(now, this::emit);
        }
    }

    private void emit(Effect effect) {
        if (effect instanceof Effect.SendToPeer send && send.to().equals(settings.self())) {
            inputsFromSelf.add(new NodeInput.PeerReceived(settings.self(), send.message()));
        } else {
            effects.add(effect);
        }
    }

    /**
     * Returns the time of the earliest timer of the node. The caller passes in a tick then, unless another input comes
     * first.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return controllers.nextDue();
    }

    /**
     * Returns the rows of the table service that the node knows.
     *
     * @return the directory
     */
    public Directory directory() {
        return controllers.directory();
    }

    /**
     * Returns the listener for rows that are read or written by calls other than the node's own.
     *
     * @return the listener
     */
    public RowListener rowListener() {
        return controllers;
    }

    /**
     * Returns the most recent decisions of the node.
     *
     * @return the log of decisions
     */
    public DecisionLog decisions() {
        return decisions;
    }

    /**
     * Returns the controller of the node's own membership.
     *
     * @return the controller
     */
    public MemberController member() {
        return controllers.member();
    }

    /**
     * Returns the controller of the node's own lease, of the leases that it grants and of its take-overs.
     *
     * @return the controller
     */
    public LeaseController lease() {
        return controllers.lease();
    }

    /**
     * Returns the controller of the slices that the node owns.
     *
     * @return the controller
     */
    public OwnershipController ownership() {
        return controllers.ownership();
    }

    /**
     * Returns the controller of the operators' marks.
     *
     * @return the controller
     */
    public MarkController marks() {
        return controllers.marks();
    }

    /**
     * Returns the controller of the requests that were forwarded to the backend server beside the node.
     *
     * @return the controller
     */
    public ExecutionController executions() {
        return controllers.executions();
    }

    /**
     * Returns the controller of the requests that the node received from callers.
     *
     * @return the controller
     */
    public RequestController requests() {
        return controllers.requests();
    }

    void onPeerReceived(MemberId from, PeerMessage message, long now) {
        message.deliver(messages, from, now);
    }

    void onPeerNotSent(MemberId to, PeerMessage message, long now) {
        if (message instanceof PeerMessage.Forward forward) {
            controllers.requests().onNotSent(to, forward, now, this::emit);
        }
    }

    void onPeerLinkLost(MemberId peer, long now) {
        controllers.requests().onLinkLost(peer, now, this::emit);
    }

    void onCallerArrived(NodeInput.CallerArrived arrived, long now) {
        controllers.requests().onCallerRequest(arrived.id(), arrived.request(), arrived.deadline(), now, this::emit);
    }

    void onCallerGone(RequestId id, long now) {
        controllers.requests().onCallerGone(id, now, this::emit);
    }

    void onServerReplied(RequestId id, ServerReply reply, long now) {
        controllers.executions().onServerReply(id, reply, now, this::emit);
    }

    void onServerAnnounced(ServerAnnouncement announcement, long now) {
        controllers.member().onAnnouncement(announcement, now, this::emit);
        controllers.executions().onAnnouncement(announcement, now, this::emit);
    }

    void onStoreReplied(long callId, StoreReply reply, long now) {
        controllers.store().onReply(callId, reply, now, this::emit);
    }

    void onChangeCommanded(long callId, ChangeCommand command, long now) {
        controllers.commands().submit(callId, command, now, this::emit);
    }

    void onMarkCommanded(long callId, MarkRow mark, long now) {
        controllers.marks().submit(callId, mark, now, this::emit);
    }

    void onRowsRequested(long callId, StoreRequest request, long now) {
        controllers
                .store()
                .submit(
                        request,
                        now,
                        this::emit,
                        (reply, at, out) -> out.emit(new Effect.SendRowsToOperator(callId, reply)));
    }

    void onStopRequested(long now) {
        controllers.member().stop(now, this::emit);
    }
}
