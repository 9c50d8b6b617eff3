package org.verbenamast.core.request;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.gate.ServerReplyKind;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;

/** The core of a node with a fake backend server, links and a store that fail at random. */
final class FakeNode {

    static final int CONCURRENCY_LIMIT = 4;
    static final String CRASHING_PATH = "/crash";

    private static final long STARTUP_NANOS = Timing.millisToNanos(1_200);
    private static final long ANNOUNCE_INTERVAL_NANOS = Timing.millisToNanos(200);

    final MemberId id;
    private final FaultyFleet fleet;
    private final NodeCore core;
    private final Map<MemberId, Long> lastArrival = new HashMap<>();
    private final Map<MemberId, Integer> linkGeneration = new HashMap<>();
    private final Set<RequestId> atServer = new HashSet<>();
    private int serverIncarnation;
    private long lastSequence;
    private final long createdAt;
    private boolean stopping;
    private boolean serverDown;
    boolean alive = true;

    FakeNode(FaultyFleet fleet, MemberId id) {
        this.fleet = fleet;
        this.id = id;
        this.core = new NodeCore(new CoreSettings(
                id,
                FaultyFleet.VISIT.name(),
                new Zone("jkt"),
                new Address("127.0.0.1", 1),
                List.of(FaultyFleet.VISIT),
                List.of(),
                Timing.DEFAULT,
                64,
                id.incarnation()));
        this.createdAt = fleet.now();
        announce();
    }

    boolean ready() {
        return alive && !stopping && fleet.now() - createdAt > STARTUP_NANOS;
    }

    void stop() {
        stopping = true;
        feed(new NodeInput.StopRequested());
    }

    private void announce() {
        if (alive) {
            serverDown = false;
            Address server = new Address("127.0.0.1", 2);
            ServerAnnouncement announcement = new ServerAnnouncement(
                    FaultyFleet.VISIT.name(), server, id + "/" + serverIncarnation, CONCURRENCY_LIMIT, 0, false);
            feed(new NodeInput.ServerAnnounced(announcement));
            fleet.after(ANNOUNCE_INTERVAL_NANOS, this::announce);
        }
    }

    RequestId accept(CallerRequest request, long deadlineNanos) {
        RequestId requestId = new RequestId(id, ++lastSequence);
        feed(new NodeInput.CallerArrived(requestId, request, fleet.now() + deadlineNanos));
        return requestId;
    }

    void feed(NodeInput input) {
        if (!alive) {
            return;
        }
        core.handle(input, fleet.now()).forEach(this::execute);
        long due = core.nextDue();
        fleet.after(Math.max(1, due - fleet.now()), this::tick);
    }

    private void tick() {
        if (alive && core.nextDue() <= fleet.now()) {
            feed(new NodeInput.Tick());
        }
    }

    private void execute(Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            send(send.to(), send.message());
        } else if (effect instanceof Effect.CallServer call) {
            callServer(call);
        } else if (effect instanceof Effect.ReplyToCaller reply) {
            fleet.onOutcome(reply.id(), reply.outcome());
        } else if (effect instanceof Effect.CallStore call) {
            fleet.after(fleet.millis(1, 4), () -> {
                var reply = fleet.store.handle(call.request());
                fleet.after(fleet.millis(1, 4), () -> feed(new NodeInput.StoreReplied(call.callId(), reply)));
            });
        } else if (effect instanceof Effect.StopProcess) {
            fleet.after(0, this::kill);
        }
    }

    private void send(MemberId to, PeerMessage message) {
        FakeNode receiver = fleet.node(to);
        if (receiver == null) {
            fleet.after(fleet.millis(0, 2), () -> feed(new NodeInput.PeerNotSent(to, message)));
            return;
        }
        long arrival = Math.max(fleet.now() + fleet.millis(0, 4), lastArrival.getOrDefault(to, 0L));
        lastArrival.put(to, arrival);
        int generation = linkGeneration.getOrDefault(to, 0);
        fleet.after(arrival - fleet.now(), () -> {
            if (generation == linkGeneration.getOrDefault(to, 0) || fleet.chance(20)) {
                receiver.feed(new NodeInput.PeerReceived(id, message));
            }
        });
        if (message instanceof PeerMessage.Ended && fleet.chance(fleet.faults().duplicateReplies())) {
            fleet.after(fleet.millis(0, 80), () -> receiver.feed(new NodeInput.PeerReceived(id, message)));
        }
    }

    /** Breaks the link to a member. Most messages in transit are lost. */
    void breakLink(MemberId to) {
        linkGeneration.merge(to, 1, Integer::sum);
        feed(new NodeInput.PeerLinkLost(to));
    }

    private void callServer(Effect.CallServer call) {
        RequestId request = call.id();
        atServer.add(request);
        fleet.onRequestsAtServer(atServer.size());
        int incarnation = serverIncarnation;
        if (serverDown) {
            fleet.after(1, () -> onServerReply(request, incarnation, ServerReplyKind.UNREACHABLE, null));
            return;
        }
        if (call.request().path().startsWith(CRASHING_PATH)) {
            fleet.onExecution(request, call.request());
            fleet.after(fleet.millis(2, 6), this::crashServer);
            return;
        }
        int percentile = fleet.random(100);
        if (percentile < fleet.faults().shed()) {
            fleet.after(fleet.millis(1, 3), () -> onServerReply(request, incarnation, ServerReplyKind.SHED, null));
            return;
        }
        fleet.onExecution(request, call.request());
        boolean lost = percentile >= 100 - fleet.faults().lostAnswers();
        RequestOutcome.Answered answer = new RequestOutcome.Answered(
                200, List.of(), new Body(FaultyFleet.echo(call.request()).getBytes(StandardCharsets.UTF_8)));
        fleet.after(
                fleet.millis(2, 60),
                () -> onServerReply(
                        request, incarnation, lost ? ServerReplyKind.LOST : ServerReplyKind.ANSWERED, answer));
    }

    private void onServerReply(
            RequestId request, int incarnation, ServerReplyKind kind, RequestOutcome.Answered answer) {
        if (incarnation == serverIncarnation && atServer.remove(request)) {
            feed(new NodeInput.ServerReplied(request, new ServerReply(kind, answer)));
        }
    }

    private void crashServer() {
        if (!serverDown) {
            fleet.onServerCrash();
            serverDown = true;
            restartServer();
        }
    }

    /** Starts a new incarnation of the backend server. All requests that it had are lost. */
    void restartServer() {
        serverIncarnation++;
        for (RequestId lost : Set.copyOf(atServer)) {
            atServer.remove(lost);
            feed(new NodeInput.ServerReplied(lost, new ServerReply(ServerReplyKind.LOST, null)));
        }
    }

    void kill() {
        alive = false;
        fleet.onNodeLost(this);
    }
}
