package org.verbenamast.relay.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.admission.AdmissionEffect;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.admission.ServerOutcome;
import org.verbenamast.core.client.ClientRefusal;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.backend.BackendPool;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.telemetry.Hop;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.relay.CapFrames;
import org.verbenamast.wire.relay.RelayFrames;

/** Accepts links from all nodes, this one included, and their requests for the backend server beside this node. */
public final class GateServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(GateServer.class);

    /** Retry delay while clients hold too much, in milliseconds. */
    private static final long BUSY_RETRY_MILLIS = 1_000;

    private final SimpleServer server;
    private final ClientRegister clients;
    private final RelayCore core;
    private final RelayLoop loop;
    private final BackendPool pool;
    private final RequestLog log;
    private final Map<Long, AdmissionExchange> exchanges = new HashMap<>();
    private final Set<FrameLink> links = new HashSet<>();
    private long lastId;

    /**
     * Creates a server that does not listen yet.
     *
     * @param eventloop the event loop of the process
     * @param address the address to listen on
     * @param clients the connections of all clients of the process
     * @param core decides on admission
     * @param loop runs the decisions and carries out their effects
     * @param pool the connections to the backend server beside this node
     * @param counts counts the outcomes of requests
     */
    public GateServer(
            Eventloop eventloop,
            Address address,
            ClientRegister clients,
            RelayCore core,
            RelayLoop loop,
            BackendPool pool,
            RequestCounts counts) {
        this.clients = Objects.requireNonNull(clients, "clients");
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = new RequestLog(Hop.GATE, counts);
        this.server = SimpleServer.builder(eventloop, socket -> {
                    FrameLink link = new FrameLink(socket);
                    links.add(link);
                    LinkHandler handler = new LinkHandler(link);
                    link.setHandler(handler);
                    clients.open(handler, RelayLoop.now());
                })
                .withSocketSettings(Sockets.SETTINGS)
                .withListenAddress(Sockets.toSocketAddress(address))
                .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen() throws IOException {
        server.listen();
    }

    /**
     * Carries out a decision of the admission controller; ignores it if the exchange has ended.
     *
     * @param effect the decision
     */
    public void run(AdmissionEffect effect) {
        AdmissionExchange exchange = exchanges.get(effect.id());
        if (exchange == null) {
            return;
        }
        if (effect instanceof AdmissionEffect.Dispatch) {
            exchange.dispatch();
        } else if (effect instanceof AdmissionEffect.Refuse refuse) {
            exchange.refuse(refuse.reason(), refuse.retryAfterMillis());
        } else if (effect instanceof AdmissionEffect.Cancel) {
            exchange.abandon();
            exchangeEnded(exchange);
        } else if (effect instanceof AdmissionEffect.CancelOverdue) {
            exchange.overdue();
        }
    }

    RequestLog log() {
        return log;
    }

    AdmissionLoad load() {
        return core.admission().load(RelayLoop.now());
    }

    long transferMillis() {
        return Math.round(core.admission().transferMillis());
    }

    StoreVersions storeVersions() {
        return core.follow().versions(RelayLoop.now());
    }

    void requestFinished(long id, ServerOutcome outcome) {
        loop.run((now, effects) -> core.admission().onFinished(id, outcome, now, effects));
    }

    void serverLoad(ServerLoad load) {
        core.admission().onServerLoad(load, RelayLoop.now());
    }

    long rejectedRetryMillis() {
        return core.admission().rejectedRetryMillis();
    }

    void serverUnreachable() {
        core.crashReports().onServerUnreachable(RelayLoop.now());
    }

    void requestAnswered(long id) {
        core.crashReports().onAnswered(id, RelayLoop.now());
    }

    void connectionLost(AdmissionRequest request) {
        core.crashReports().onConnectionLost(request.id(), request.incarnation());
    }

    void exchangeEnded(AdmissionExchange exchange) {
        exchanges.remove(exchange.id());
        clients.record(exchange.client(), 0, true, RelayLoop.now());
        core.crashReports().onEnded(exchange.id());
    }

    @Override
    public void close() {
        server.close();
        Set.copyOf(links).forEach(FrameLink::close);
    }

    /** Handles the frames of one link. */
    private final class LinkHandler implements FrameLink.FrameHandler, ClientRegister.Client {

        private final FrameLink link;
        private AdmissionExchange exchange;

        private LinkHandler(FrameLink link) {
            this.link = link;
        }

        @Override
        public void onFrame(RelayFrame frame) {
            switch (frame.getBodyCase()) {
                case OPEN -> open(frame.getOpen());
                case DATA -> data(frame);
                case END -> end();
                case RECEIVED -> received();
                case HEAT ->
                    loop.run((now, effects) -> core.keys().onLoadReport(RelayFrames.heat(frame.getHeat()), now));
                case ROWS -> rows(frame);
                case CAP_REPORT ->
                    CapFrames.report(frame.getCapReport())
                            .peek(report ->
                                    loop.run((now, effects) -> core.caps().onReport(report, now, effects)))
                            .peekLeft(this::ignore);
                case CAP_GRANT ->
                    CapFrames.grant(frame.getCapGrant())
                            .peek(grant ->
                                    loop.run((now, effects) -> core.caps().onGrant(grant, now, effects)))
                            .peekLeft(this::ignore);
                default -> {
                    LOG.warn("closing a link from another node: received an unexpected frame {}", frame.getBodyCase());
                    link.close();
                    onEnd();
                }
            }
        }

        private void open(RelayOpen open) {
            exchange = null;
            if (!clients.permits(this, AdmissionExchange.weightOf(open))) {
                clients.count(ClientRefusal.HELD_BYTES);
                link.send(RelayFrames.refused(Refusal.SHED, BUSY_RETRY_MILLIS, load(), storeVersions()));
                return;
            }
            loop.onStoreVersions(RelayFrames.news(open.getNews()));
            RelayFrames.request(++lastId, open, RelayLoop.now())
                    .peek(request -> open(request, open))
                    .peekLeft(fault -> {
                        LOG.warn(
                                "closing a link from another node, as its request can't be decoded: {}",
                                fault.getMessage());
                        link.close();
                        onEnd();
                    });
        }

        private void open(AdmissionRequest request, RelayOpen open) {
            exchange = new AdmissionExchange(link, this, request, open, pool, GateServer.this);
            exchanges.put(request.id(), exchange);
            core.crashReports().onArrived(request.id(), exchange.content());
            if (request.key().isPresent()) {
                core.keys().recordRequest(request.key().getAsInt());
            }
            if (open.getHedged()) {
                loop.run((now, effects) -> core.admission().onHedge(request, now, effects));
            } else {
                loop.run((now, effects) -> core.admission().onRequest(request, now, effects));
            }
        }

        private void ignore(WireException fault) {
            LOG.warn("ignoring a message about caps from another node: {}", fault.getMessage());
        }

        private void rows(RelayFrame frame) {
            List<StoredRow> rows = RelayFrames.rows(
                    frame.getRows(),
                    core::knownRow,
                    fault ->
                            LOG.warn("ignoring a row from another node that can't be decoded: {}", fault.getMessage()));
            loop.run((now, effects) -> core.onRows(rows, now, effects));
        }

        private void data(RelayFrame frame) {
            if (exchange != null) {
                exchange.body(frame.getData().toByteArray());
            }
        }

        private void end() {
            if (exchange != null) {
                long id = exchange.id();
                exchange.endBody();
                loop.run((now, effects) -> core.admission().onBodyReceived(id, now, effects));
            }
        }

        private void received() {
            if (exchange != null) {
                long id = exchange.id();
                loop.run((now, effects) -> core.admission().onReceived(id, now, effects));
            }
        }

        @Override
        public void onBytesHeld(int heldBytes) {
            long requestBytes = exchange == null ? 0 : exchange.heldBytes();
            clients.record(this, heldBytes + requestBytes, true, RelayLoop.now());
        }

        @Override
        public void evict() {
            // The link may be the one whose bytes are being handled.
            Reactor.getCurrentReactor().post(() -> {
                link.close();
                onEnd();
            });
        }

        @Override
        public void onEnd() {
            clients.close(this);
            links.remove(link);
            if (exchange != null) {
                AdmissionExchange withdrawn = exchange;
                loop.run((now, effects) -> core.admission().onWithdrawn(withdrawn.id(), now, effects));
                exchangeEnded(withdrawn);
            }
        }

        @Override
        public Promise<Void> whenReady() {
            return exchange == null ? Promise.complete() : exchange.whenBodyWritable();
        }
    }
}
