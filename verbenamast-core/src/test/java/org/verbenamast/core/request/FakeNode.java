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

/** A node's decisions with a backend server, links and a store that fail at random. */
final class FakeNode {

    static final int SLOTS = 4;
    static final String CRASHING = "/crash";

    private static final long READY_NANOS = Timing.millisToNanos(1_200);
    private static final long ANNOUNCE_NANOS = Timing.millisToNanos(200);

    final MemberId id;
    private final FaultyFleet fleet;
    private final NodeCore core;
    private final Map<MemberId, Long> lastArrival = new HashMap<>();
    private final Map<MemberId, Integer> linkTurn = new HashMap<>();
    private final Set<RequestId> atServer = new HashSet<>();
    private int starts;
    private long lastSequence;
    private final long begunAt;
    private boolean stopping;
    private boolean down;
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
        this.begunAt = fleet.now();
        announce();
    }

    boolean ready() {
        return alive && !stopping && fleet.now() - begunAt > READY_NANOS;
    }

    void stop() {
        stopping = true;
        feed(new NodeInput.StopRequested());
    }

    private void announce() {
        if (alive) {
            down = false;
            Address server = new Address("127.0.0.1", 2);
            ServerAnnouncement announcement =
                    new ServerAnnouncement(FaultyFleet.VISIT.name(), server, id + "/" + starts, SLOTS, 0, false);
            feed(new NodeInput.ServerAnnounced(announcement));
            fleet.after(ANNOUNCE_NANOS, this::announce);
        }
    }

    RequestId take(CallerRequest request, long deadlineNanos) {
        RequestId request1 = new RequestId(id, ++lastSequence);
        feed(new NodeInput.CallerArrived(request1, request, fleet.now() + deadlineNanos));
        return request1;
    }

    void feed(NodeInput input) {
        if (!alive) {
            return;
        }
        core.handle(input, fleet.now()).forEach(this::run);
        long due = core.nextDue();
        fleet.after(Math.max(1, due - fleet.now()), this::tick);
    }

    private void tick() {
        if (alive && core.nextDue() <= fleet.now()) {
            feed(new NodeInput.Tick());
        }
    }

    private void run(Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            send(send.to(), send.message());
        } else if (effect instanceof Effect.CallServer call) {
            callServer(call);
        } else if (effect instanceof Effect.ReplyToCaller reply) {
            fleet.told(reply.id(), reply.outcome());
        } else if (effect instanceof Effect.CallStore call) {
            fleet.after(fleet.millis(1, 4), () -> {
                var answer = fleet.store.answer(call.request());
                fleet.after(fleet.millis(1, 4), () -> feed(new NodeInput.StoreReplied(call.call(), answer)));
            });
        } else if (effect instanceof Effect.Stopped) {
            fleet.after(0, this::kill);
        }
    }

    private void send(MemberId to, PeerMessage message) {
        FakeNode receiver = fleet.node(to);
        if (receiver == null) {
            fleet.after(fleet.millis(0, 2), () -> feed(new NodeInput.PeerNotSent(to, message)));
            return;
        }
        long at = Math.max(fleet.now() + fleet.millis(0, 4), lastArrival.getOrDefault(to, 0L));
        lastArrival.put(to, at);
        int turn = linkTurn.getOrDefault(to, 0);
        fleet.after(at - fleet.now(), () -> {
            if (turn == linkTurn.getOrDefault(to, 0) || fleet.chance(20)) {
                receiver.feed(new NodeInput.PeerReceived(id, message));
            }
        });
        if (message instanceof PeerMessage.Ended && fleet.chance(fleet.faults().doubledReplies())) {
            fleet.after(fleet.millis(0, 80), () -> receiver.feed(new NodeInput.PeerReceived(id, message)));
        }
    }

    /** Breaks the link to a member: what is under way mostly does not arrive. */
    void cut(MemberId to) {
        linkTurn.merge(to, 1, Integer::sum);
        feed(new NodeInput.PeerLinkLost(to));
    }

    private void callServer(Effect.CallServer call) {
        RequestId request = call.id();
        atServer.add(request);
        fleet.atServer(atServer.size());
        int start = starts;
        if (down) {
            fleet.after(1, () -> replied(request, start, ServerReplyKind.UNREACHABLE, null));
            return;
        }
        if (call.request().path().startsWith(CRASHING)) {
            fleet.ran(request, call.request());
            fleet.after(fleet.millis(2, 6), this::crash);
            return;
        }
        int fate = fleet.random(100);
        if (fate < fleet.faults().shed()) {
            fleet.after(fleet.millis(1, 3), () -> replied(request, start, ServerReplyKind.SHED, null));
            return;
        }
        fleet.ran(request, call.request());
        boolean lost = fate >= 100 - fleet.faults().lostAnswers();
        RequestOutcome.Answered answer = new RequestOutcome.Answered(
                200, List.of(), new Body(FaultyFleet.echo(call.request()).getBytes(StandardCharsets.UTF_8)));
        fleet.after(
                fleet.millis(2, 60),
                () -> replied(request, start, lost ? ServerReplyKind.LOST : ServerReplyKind.ANSWERED, answer));
    }

    private void replied(RequestId request, int start, ServerReplyKind kind, RequestOutcome.Answered answer) {
        if (start == starts && atServer.remove(request)) {
            feed(new NodeInput.ServerReplied(request, new ServerReply(kind, answer)));
        }
    }

    private void crash() {
        if (!down) {
            fleet.crashed();
            down = true;
            restartServer();
        }
    }

    /** Ends the backend server's run: each request that it had is lost. */
    void restartServer() {
        starts++;
        for (RequestId lost : Set.copyOf(atServer)) {
            atServer.remove(lost);
            feed(new NodeInput.ServerReplied(lost, new ServerReply(ServerReplyKind.LOST, null)));
        }
    }

    void kill() {
        alive = false;
        fleet.lost(this);
    }
}
