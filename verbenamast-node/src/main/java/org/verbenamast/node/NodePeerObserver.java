package org.verbenamast.node;

import java.util.Objects;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.node.peer.PeerObserver;
import org.verbenamast.node.telemetry.NodeMetrics;
import org.verbenamast.node.telemetry.Spans;
import org.verbenamast.node.telemetry.Spans.HopKind;
import org.verbenamast.wire.WireFault;

/** Hands what happens on the links and at the backend server to the loop, with spans and metrics. */
final class NodePeerObserver implements PeerObserver {

    private static final Logger LOG = LoggerFactory.getLogger(NodePeerObserver.class);

    private final NodeLoop loop;
    private final Spans spans;
    private final NodeMetrics metrics;

    NodePeerObserver(NodeLoop loop, Spans spans, NodeMetrics metrics) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.spans = Objects.requireNonNull(spans, "spans");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void happened(NodeInput input) {
        loop.feed(traced(input));
    }

    private NodeInput traced(NodeInput input) {
        if (input instanceof NodeInput.ServerReplied replied) {
            spans.end(replied.id(), HopKind.BACKEND, replied.reply().kind().outcome(replied.reply()));
        }
        if (!(input instanceof NodeInput.PeerReceived received)) {
            return input;
        }
        if (received.message() instanceof PeerMessage.Forward forward) {
            CallerRequest request = spans.begin(forward.id(), HopKind.SERVE, forward.request());
            return new NodeInput.PeerReceived(received.from(), forward.withRequest(request));
        }
        if (received.message() instanceof PeerMessage.Ended ended) {
            spans.end(ended.id(), HopKind.FORWARD, ended.outcome());
        }
        return input;
    }

    @Override
    public void sent(int bytes) {
        metrics.peerSent(bytes);
    }

    @Override
    public void received(int bytes) {
        metrics.peerReceived(bytes);
    }

    @Override
    public void refused(WireFault fault, String message) {
        metrics.messageRefused(fault);
        LOG.warn("refused a message from a node: {}", message);
    }
}
