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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.admission.AdmissionEffect;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.backend.BackendPool;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.telemetry.Hop;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.relay.RelayFrames;

/** Where other nodes, and this one, hand over requests for the server beside this node. */
public final class GateServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(GateServer.class);

    private final SimpleServer server;
    private final RelayCore core;
    private final RelayLoop loop;
    private final BackendPool pool;
    private final RequestLog log;
    private final Map<Long, GateExchange> exchanges = new HashMap<>();
    private final Set<FrameLink> links = new HashSet<>();
    private long lastId;

    /**
     * Makes a server that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param address where to listen
     * @param core the decisions
     * @param loop runs decisions
     * @param pool the connections to the server beside this node
     * @param counts counts how requests end
     */
    public GateServer(
            Eventloop eventloop,
            Address address,
            RelayCore core,
            RelayLoop loop,
            BackendPool pool,
            RequestCounts counts) {
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = new RequestLog(Hop.GATE, counts);
        this.server = SimpleServer.builder(eventloop, socket -> {
                    FrameLink link = new FrameLink(socket);
                    links.add(link);
                    link.use(new Incoming(link));
                })
                .withSocketSettings(Sockets.SETTINGS)
                .withListenAddress(Sockets.of(address))
                .build();
    }

    /**
     * Listens.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
    }

    /**
     * Carries out what the gate decided.
     *
     * @param effect the effect
     */
    public void run(AdmissionEffect effect) {
        GateExchange exchange = exchanges.get(effect.id());
        if (exchange == null) {
            return;
        }
        if (effect instanceof AdmissionEffect.Dispatch) {
            exchange.dispatch();
        } else if (effect instanceof AdmissionEffect.Refuse refuse) {
            exchange.refuse(refuse.reason(), refuse.retryAfterMillis());
        } else if (effect instanceof AdmissionEffect.Abandon) {
            exchange.abandon();
            exchanges.remove(effect.id());
        } else if (effect instanceof AdmissionEffect.Overdue) {
            exchange.overdue();
        }
    }

    RequestLog log() {
        return log;
    }

    AdmissionLoad load() {
        return core.gate().load(RelayLoop.now());
    }

    StoreVersions news() {
        return core.follow().news(RelayLoop.now());
    }

    void finished(long id, boolean answered) {
        loop.run((now, effects) -> core.gate().finished(id, answered, now, effects));
    }

    void exchangeEnded(GateExchange exchange) {
        exchanges.remove(exchange.id());
    }

    @Override
    public void close() {
        server.close();
        Set.copyOf(links).forEach(FrameLink::close);
    }

    /** What comes on one link. */
    private final class Incoming implements FrameLink.Taker {

        private final FrameLink link;
        private GateExchange exchange;

        private Incoming(FrameLink link) {
            this.link = link;
        }

        @Override
        public void frame(RelayFrame frame) {
            switch (frame.getBodyCase()) {
                case OPEN -> open(frame.getOpen());
                case DATA -> data(frame);
                case END -> end();
                case HEAT -> loop.run((now, effects) -> core.keys().heat(RelayFrames.heat(frame.getHeat()), now));
                case ROWS -> rows(frame);
                default -> {
                    LOG.warn("a link of another node is closed: frame {} was not expected", frame.getBodyCase());
                    link.close();
                    ended();
                }
            }
        }

        private void open(RelayOpen open) {
            loop.onStoreVersions(RelayFrames.news(open.getNews()));
            RelayFrames.request(++lastId, open, RelayLoop.now())
                    .peek(request -> open(request, open))
                    .peekLeft(fault -> {
                        LOG.warn("a link of another node is closed: {}", fault.getMessage());
                        link.close();
                        ended();
                    });
        }

        private void open(AdmissionRequest request, RelayOpen open) {
            exchange = new GateExchange(link, request, open, pool, GateServer.this);
            exchanges.put(request.id(), exchange);
            if (request.key().isPresent()) {
                core.keys().counted(request.key().getAsInt());
            }
            loop.run((now, effects) -> core.gate().open(request, now, effects));
        }

        private void rows(RelayFrame frame) {
            List<StoredRow> rows = RelayFrames.rows(
                    frame.getRows(),
                    fault -> LOG.warn("a row that another node told can't be read: {}", fault.getMessage()));
            loop.run((now, effects) -> core.rows(rows, now, effects));
        }

        private void data(RelayFrame frame) {
            if (exchange != null) {
                exchange.body(frame.getData().toByteArray());
            }
        }

        private void end() {
            if (exchange != null) {
                exchange.endBody();
            }
        }

        @Override
        public void ended() {
            links.remove(link);
            if (exchange != null) {
                long id = exchange.id();
                loop.run((now, effects) -> core.gate().withdrawn(id, now, effects));
                exchanges.remove(id);
            }
        }

        @Override
        public Promise<Void> room() {
            return exchange == null ? Promise.complete() : exchange.bodyRoom();
        }
    }
}
