package org.verbenamast.relay.caller;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.EndToEndFields;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.Hop;
import org.verbenamast.relay.telemetry.LogField;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.relay.telemetry.RequestEnd;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.generated.RelayOpen;

/** Where callers on this host, and the backend server itself, send their requests. */
public final class CallerServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);

    /** Time a caller waits who names no deadline, in milliseconds; routes usually set less. */
    private static final long USUAL_DEADLINE_MILLIS = 30_000;
    /** What a caller who comes before the manifest or at the node's end is told, in milliseconds. */
    private static final long NOT_TAKING_RETRY_MILLIS = 500;

    private final SimpleServer server;
    private final String service;
    private final RelayCore core;
    private final RelayLoop loop;
    private final PeerPool pool;
    private final RequestLog log;
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final Set<CallerConnection> connections = new HashSet<>();
    private boolean stopping;
    private boolean refusing;
    private long lastId;

    /**
     * Makes a server that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param address where to listen
     * @param service the service of the host where the requests begin
     * @param core the decisions
     * @param loop runs decisions
     * @param pool the connections to other nodes
     * @param counts counts how requests end
     */
    public CallerServer(
            Eventloop eventloop,
            Address address,
            String service,
            RelayCore core,
            RelayLoop loop,
            PeerPool pool,
            RequestCounts counts) {
        this.service = Objects.requireNonNull(service, "service");
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = new RequestLog(Hop.ENTRY, counts);
        this.server = SimpleServer.builder(
                        eventloop,
                        socket -> connections.add(new CallerConnection(this, socket, (int) limits().maxHeaderBytes())))
                .withSocketSettings(Sockets.SETTINGS)
                .withListenAddress(Sockets.toSocketAddress(address))
                .build();
    }

    private RequestLimits limits() {
        return core.manifest().limits();
    }

    /**
     * Listens.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
    }

    /** Lets each connection end with its next answer. */
    public void stop() {
        stopping = true;
    }

    /** Refuses each further request at once: the node is about to end, and no request is to be cut off by it. */
    public void refuseNew() {
        refusing = true;
    }

    boolean stopping() {
        return stopping;
    }

    /**
     * Tells whether all requests are answered.
     *
     * @return whether none is under way
     */
    public boolean idle() {
        return exchanges.isEmpty();
    }

    /** Closes connections that have been idle for longer than the manifest allows. */
    public void closeIdle() {
        long before = RelayLoop.now() - Timing.nanos(limits().idleTimeoutMillis());
        for (CallerConnection connection : List.copyOf(connections)) {
            if (connection.idleSince() < before) {
                connection.close();
                connections.remove(connection);
            }
        }
    }

    /**
     * Carries out what the entry decided.
     *
     * @param effect the effect
     */
    public void run(EntryEffect effect) {
        CallerExchange exchange = exchanges.get(effect.id());
        if (exchange != null) {
            exchange.run(effect);
        }
    }

    void ended(CallerExchange exchange) {
        exchanges.remove(exchange.request().id());
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Begins a request, or answers it at once. */
    void begin(CallerConnection connection, HttpRequest head) {
        if (refusing || core.manifest().routes().isEmpty()) {
            connection.answer(
                    HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(NOT_TAKING_RETRY_MILLIS));
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > limits().maxBodyBytes()) {
            connection.answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "");
            return;
        }
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = core.manifest().routes().get().find(host, head.uri());
        String attemptId = head.headers().get(RequestFields.ATTEMPT_ID, "");
        if (route.isEmpty() || attemptId.isEmpty()) {
            String reason = route.isEmpty() ? "NO_ROUTE" : "NO_ID";
            log.ended(new RequestEnd("refused", reason, attemptId, "", 0), () -> new Object[] {
                LogField.TARGET.of(host + head.uri()),
                LogField.MANIFEST.of(core.manifest().version())
            });
            connection.answer(route.isEmpty() ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, "");
            return;
        }
        begin(connection, head, route.get(), attemptId);
    }

    private void begin(CallerConnection connection, HttpRequest head, Route route, String attemptId) {
        long now = RelayLoop.now();
        String target = route.service(ThreadLocalRandom.current().nextDouble());
        long deadlineMillis = Math.min(
                whole(head.headers().get(RequestFields.TIME_LEFT), USUAL_DEADLINE_MILLIS), route.timeoutMillis());
        EntryRequest request = new EntryRequest(
                ++lastId,
                attemptId,
                route,
                target,
                key(head, target),
                now,
                now + Timing.nanos(route.objectiveMillis()),
                now + Timing.nanos(deadlineMillis));
        CallerExchange exchange = new CallerExchange(request, open(head), connection, core, loop, pool, log);
        exchanges.put(request.id(), exchange);
        connection.begun(exchange);
        exchange.open();
    }

    private OptionalInt key(HttpRequest head, String target) {
        boolean keyed =
                core.manifest().service(target).filter(ServiceRules::keyed).isPresent();
        long key = whole(head.headers().get(RequestFields.KEY), -1);
        return keyed && key >= 0 && key <= KeyRange.MAX_KEY ? OptionalInt.of((int) key) : OptionalInt.empty();
    }

    private static long whole(String text, long absent) {
        if (text == null) {
            return absent;
        }
        try {
            return Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            LOG.debug("a header should be a whole number but is {}; taken as absent", text);
            return absent;
        }
    }

    /** Tells whether a field goes another way between nodes, or is set anew by them. */
    private static boolean isLeftOut(String name) {
        return "host".equalsIgnoreCase(name) || RequestFields.setByNodes(name);
    }

    private RelayOpen open(HttpRequest head) {
        return RelayOpen.newBuilder()
                .setMethod(head.method().name())
                .setTarget(head.uri())
                .setHost(head.headers().get(HttpHeaderNames.HOST, ""))
                .setCallerService(service)
                .setBodyLength(HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, 0L))
                .addAllFields(EndToEndFields.of(head.headers(), CallerServer::isLeftOut))
                .build();
    }

    @Override
    public void close() {
        server.close();
        List.copyOf(connections).forEach(CallerConnection::close);
    }
}
