package org.verbenamast.node;

import java.io.IOException;
import java.security.SecureRandom;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.effect.StopReason;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.http.HttpClients;
import org.verbenamast.node.caller.CallerFront;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.node.operator.OperatorFront;
import org.verbenamast.node.peer.PeerLinks;
import org.verbenamast.node.peer.PeerServer;
import org.verbenamast.node.platform.PlatformClient;
import org.verbenamast.node.server.ServerClient;
import org.verbenamast.node.settings.NodeSettings;
import org.verbenamast.node.telemetry.NodeMetrics;
import org.verbenamast.node.telemetry.Spans;
import sun.misc.Signal;

/** Puts the parts of a node together on one event loop and runs it. */
public final class NodeProcess implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(NodeProcess.class);

    private final NodeSettings settings;
    private final Eventloop eventloop;
    private final NodeLoop loop;
    private final CallerFront callers;
    private final OperatorFront operators;
    private final PeerServer peerServer;
    private final PeerLinks peerLinks;
    private final Spans spans;
    private StopReason stopReason = StopReason.ASKED;

    /**
     * Makes a node that does not run yet.
     *
     * @param settings the node's settings
     */
    public NodeProcess(NodeSettings settings) {
        this.settings = settings;
        this.eventloop = Eventloop.builder()
                .withCurrentThread()
                .withTimeProvider(() -> System.nanoTime() / Timing.NANOS_PER_MILLI)
                .build();
        MemberId self = new MemberId(settings.node(), new SecureRandom().nextLong(1, Long.MAX_VALUE));
        NodeCore core = new NodeCore(coreSettings(settings, self));
        NodeMetrics metrics = new NodeMetrics();
        metrics.watch(core);
        this.spans = new Spans(self, settings.traceRatio());
        NodeEffects effects = new NodeEffects(core, spans, this::stopped);
        this.loop = new NodeLoop(eventloop, core, effects);
        NodePeerObserver observer = new NodePeerObserver(loop, spans, metrics);
        HttpClient http = HttpClients.create(eventloop, settings.limits().maxBodyBytes());
        this.callers = new CallerFront(eventloop, self, settings, loop, spans, metrics);
        this.operators = new OperatorFront(eventloop, settings.operators(), core, loop, metrics);
        int maxFrameBytes = settings.limits().maxFrameBytes();
        this.peerLinks = new PeerLinks(eventloop, self, settings.advertise(), maxFrameBytes, observer);
        this.peerServer =
                new PeerServer(eventloop, self, settings.peers(), maxFrameBytes, observer, peerLinks::announced);
        effects.connect(
                callers,
                operators,
                peerLinks,
                new PlatformClient(http, settings.platform(), loop::feed, observer::rowRefused),
                new ServerClient(http, settings.limits().maxBodyBytes(), observer::happened));
    }

    private static CoreSettings coreSettings(NodeSettings settings, MemberId self) {
        return new CoreSettings(
                self,
                settings.service(),
                settings.zone(),
                settings.advertise(),
                settings.services(),
                settings.seeds(),
                settings.timing(),
                settings.limits().queueLimit(),
                settings.zones(),
                settings.operatorKeys(),
                self.incarnation());
    }

    /**
     * Runs the node until it is asked to stop and has nothing left to do, or may not serve any more.
     *
     * @return why it stopped
     * @throws IOException where an address can't be used
     */
    public StopReason run() throws IOException {
        callers.listen();
        operators.listen();
        peerServer.listen();
        Signal.handle(new Signal("TERM"), signal -> loop.feedFromOutside(new NodeInput.StopRequested()));
        LOG.info("node {} listens for callers at {}", settings.node(), settings.callers());
        eventloop.keepAlive(true);
        eventloop.post(() -> loop.feed(new NodeInput.Tick()));
        eventloop.run();
        return stopReason;
    }

    private void stopped(StopReason reason) {
        stopReason = reason;
        LOG.info("node {} stops: {}", settings.node(), reason);
        eventloop.post(() -> callers.finish().whenComplete(eventloop::breakEventloop));
    }

    @Override
    public void close() {
        callers.close();
        operators.close();
        peerServer.close();
        peerLinks.close();
        spans.close();
    }
}
