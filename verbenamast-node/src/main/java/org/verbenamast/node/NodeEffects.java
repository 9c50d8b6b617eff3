package org.verbenamast.node;

import java.util.Objects;
import java.util.function.Consumer;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.StopReason;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.node.caller.CallerFront;
import org.verbenamast.node.loop.EffectRunner;
import org.verbenamast.node.operator.OperatorFront;
import org.verbenamast.node.peer.PeerLinks;
import org.verbenamast.node.platform.PlatformClient;
import org.verbenamast.node.server.ServerClient;
import org.verbenamast.node.telemetry.Spans;
import org.verbenamast.node.telemetry.Spans.HopKind;

/** Carries out the effects of a node's decisions by the node's clients and fronts. */
final class NodeEffects implements EffectRunner {

    private final NodeCore core;
    private final Spans spans;
    private final Consumer<StopReason> stopped;
    private CallerFront callers;
    private OperatorFront operators;
    private PeerLinks peers;
    private PlatformClient platform;
    private ServerClient server;

    NodeEffects(NodeCore core, Spans spans, Consumer<StopReason> stopped) {
        this.core = Objects.requireNonNull(core, "core");
        this.spans = Objects.requireNonNull(spans, "spans");
        this.stopped = Objects.requireNonNull(stopped, "stopped");
    }

    /** Sets the clients and fronts, which themselves need the loop that runs these effects. */
    void connect(
            CallerFront front,
            OperatorFront operatorFront,
            PeerLinks links,
            PlatformClient platformClient,
            ServerClient serverClient) {
        this.callers = Objects.requireNonNull(front, "front");
        this.operators = Objects.requireNonNull(operatorFront, "operatorFront");
        this.peers = Objects.requireNonNull(links, "links");
        this.platform = Objects.requireNonNull(platformClient, "platformClient");
        this.server = Objects.requireNonNull(serverClient, "serverClient");
    }

    @Override
    public void run(Effect effect) {
        if (effect instanceof Effect.SendToPeer send) {
            sendToPeer(send);
        } else if (effect instanceof Effect.CallServer call) {
            CallerRequest traced = spans.begin(call.id(), HopKind.BACKEND, call.request());
            server.call(call, traced.traceParent());
        } else if (effect instanceof Effect.ReplyToCaller reply) {
            callers.reply(reply);
        } else if (effect instanceof Effect.CallStore call) {
            platform.call(call);
        } else if (effect instanceof Effect.SendToSeed send) {
            peers.sendToSeed(send.address(), send.message());
        } else if (effect instanceof Effect.CancelAtServer cancel) {
            server.cancel(cancel);
        } else if (effect instanceof Effect.ReplyToOperator answer) {
            operators.calls().answer(answer);
        } else if (effect instanceof Effect.SendRowsToOperator show) {
            operators.calls().show(show);
        } else if (effect instanceof Effect.StopProcess stop) {
            stopped.accept(stop.reason());
        }
    }

    private void sendToPeer(Effect.SendToPeer send) {
        MemberRow member = core.directory().member(send.to());
        if (member == null) {
            peers.send(send.to(), traced(send.message()));
        } else {
            peers.send(send.to(), member.peer(), traced(send.message()));
        }
    }

    private PeerMessage traced(PeerMessage message) {
        if (message instanceof PeerMessage.Forward forward) {
            CallerRequest request = spans.begin(forward.id(), HopKind.FORWARD, forward.request());
            return forward.withRequest(request);
        }
        if (message instanceof PeerMessage.Ended ended) {
            spans.end(ended.id(), HopKind.SERVE, ended.outcome());
        }
        return message;
    }
}
