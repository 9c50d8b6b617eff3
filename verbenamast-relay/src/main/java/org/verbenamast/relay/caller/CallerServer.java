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
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.client.pipeline.Pipeline;
import org.verbenamast.core.client.pipeline.PipelineData;
import org.verbenamast.core.client.pipeline.PipelineEvent;
import org.verbenamast.core.client.pipeline.PipelineInput;
import org.verbenamast.core.entry.CallerBudgets;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.RouteTable;
import org.verbenamast.core.manifest.ServiceRotation;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.tenant.CallerIdentity;
import org.verbenamast.core.tenant.CapEffect;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.net.EndToEndFields;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.Hop;
import org.verbenamast.relay.telemetry.LogField;
import org.verbenamast.relay.telemetry.RequestCounts;
import org.verbenamast.relay.telemetry.RequestEnd;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.generated.RelayOpen;

/** The HTTP endpoint where callers on this host, including the backend server, send their requests. */
public final class CallerServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);

    /** Deadline of a request that names none, in milliseconds; the route's timeout usually shortens it. */
    private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
    /** Retry delay sent before a manifest is in force and while the node shuts down, in milliseconds. */
    private static final long UNAVAILABLE_RETRY_MILLIS = 500;

    private final SimpleServer server;
    private final CallerSettings settings;
    private final ClientRegister clients;
    private final RelayCore core;
    private final RelayLoop loop;
    private final PeerPool pool;
    private final RequestLog log;
    private final Map<Long, CallerExchange> exchanges = new HashMap<>();
    private final Set<CallerConnection> connections = new HashSet<>();
    private final ServiceRotation rotation =
            new ServiceRotation(() -> ThreadLocalRandom.current().nextDouble());
    private final CallerBudgets callerBudgets = new CallerBudgets();
    private boolean stopping;
    private boolean refusing;
    private long answersUntil = Long.MAX_VALUE;
    private final Chart<PipelineEvent, PipelineData, PipelineInput> chart = Pipeline.chart();
    private long lastId;

    /**
     * Creates a server that does not listen yet.
     *
     * @param eventloop the only event loop of the process
     * @param settings the address to listen on, the service whose requests arrive there, and the limits on its clients
     * @param clients the connections of all clients of the process
     * @param core makes the decisions about requests
     * @param loop runs the decisions on the event loop and executes their effects
     * @param pool the connections to other nodes
     * @param counts counts requests by outcome
     */
    public CallerServer(
            Eventloop eventloop,
            CallerSettings settings,
            ClientRegister clients,
            RelayCore core,
            RelayLoop loop,
            PeerPool pool,
            RequestCounts counts) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.clients = Objects.requireNonNull(clients, "clients");
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = new RequestLog(Hop.ENTRY, counts);
        this.server = SimpleServer.builder(
                        eventloop,
                        socket -> connections.add(
                                new CallerConnection(this, socket, (int) limits().maxHeaderBytes(), newPipeline())))
                .withSocketSettings(Sockets.SETTINGS)
                .withListenAddress(Sockets.toSocketAddress(settings.address()))
                .build();
    }

    private Pipeline newPipeline() {
        return new Pipeline(chart, settings.limits().pipelinedRequests(), RelayLoop.now());
    }

    /** Returns the budget for what clients make the process hold. */
    ClientRegister clients() {
        return clients;
    }

    RequestLimits limits() {
        return core.manifest().limits();
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen() throws IOException {
        server.listen();
    }

    /**
     * Closes each connection after its next answer, and limits the time of requests that arrive from now on.
     *
     * @param latestAnswerAt the monotonic time by which they have to be answered, in nanoseconds
     */
    public void stop(long latestAnswerAt) {
        stopping = true;
        answersUntil = latestAnswerAt;
    }

    /** Refuses all further requests at once, so that the shutdown of the node cuts off none that it has accepted. */
    public void refuseNew() {
        refusing = true;
    }

    boolean stopping() {
        return stopping;
    }

    /**
     * Returns whether all requests are answered.
     *
     * @return whether no request is in progress
     */
    public boolean idle() {
        return exchanges.isEmpty();
    }

    /** Closes connections that were idle for longer than the idle timeout of the manifest, or whose end is due. */
    public void closeIdle() {
        long now = RelayLoop.now();
        long before = now - Timing.millisToNanos(limits().idleTimeoutMillis());
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.advance(now);
            if (connection.idleSince() < before) {
                connection.onEnd(true);
            }
        }
    }

    /**
     * Executes an effect of the entry node's decision; ignores it if the request has already ended.
     *
     * @param effect the effect
     */
    public void run(EntryEffect effect) {
        CallerExchange exchange = exchanges.get(effect.id());
        if (exchange != null) {
            exchange.run(effect);
        }
    }

    /**
     * Executes an effect on a request that waited for a token of its tenant's cap; ignores it if the request has ended.
     *
     * @param effect the effect
     */
    public void run(CapEffect effect) {
        if (effect instanceof CapEffect.Admit admit && exchanges.containsKey(admit.id())) {
            exchanges.get(admit.id()).admit(admit.tokenExpiresAt());
        } else if (effect instanceof CapEffect.Refuse refuse && exchanges.containsKey(refuse.id())) {
            exchanges.get(refuse.id()).refuseBeyondCap(refuse.retryAfterMillis());
        }
    }

    /** Ends the requests that wait and whose caller's key was withdrawn by the manifest that is in force now. */
    public void onManifestChanged() {
        List.copyOf(exchanges.values()).forEach(CallerExchange::onManifestChanged);
    }

    /** Forgets an exchange and returns whether it was still open. */
    boolean onExchangeEnded(CallerExchange exchange) {
        return exchanges.remove(exchange.request().id()) != null;
    }

    void onConnectionClosed(CallerConnection connection) {
        connections.remove(connection);
    }

    /** Returns whether a request may run more than once; one that this node answers by itself runs nowhere. */
    boolean isRepeatable(HttpRequest head) {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        return core.manifest()
                .routes()
                .flatMap(routes -> routes.find(host, head.uri()))
                .map(route -> route.kind().isRepeatable())
                .orElse(true);
    }

    /** Starts a request, or answers it immediately if it is rejected here. */
    void begin(CallerReply reply, HttpRequest head) {
        String host = head.headers().get(HttpHeaderNames.HOST, "");
        Optional<RouteTable> routes = core.manifest().routes();
        if (refusing || routes.isEmpty() || routes.get().isUnreadable(host, head.uri())) {
            reply.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(UNAVAILABLE_RETRY_MILLIS));
            return;
        }
        if (HttpUtil.getContentLength(head, 0L) > limits().maxBodyBytes()) {
            reply.answer(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "");
            return;
        }
        Optional<Route> route = routes.get().find(host, head.uri());
        String attemptId = head.headers().get(RequestFields.ATTEMPT_ID, "");
        if (route.isEmpty() || attemptId.isEmpty()) {
            String reason = route.isEmpty() ? "NO_ROUTE" : "NO_ID";
            log.recordEnd(new RequestEnd("refused", reason, attemptId, "", 0), () -> new Object[] {
                LogField.TARGET.of(host + head.uri()),
                LogField.MANIFEST.of(core.manifest().version())
            });
            reply.answer(route.isEmpty() ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.BAD_REQUEST, "");
            return;
        }
        CallerIdentity identity = CallerIdentity.of(
                head.headers().getAll(RequestFields.CALLER_KEY),
                route.get(),
                core.manifest().tenants());
        if (identity.verdict().isRefused()) {
            log.recordEnd(
                    new RequestEnd(
                            "refused",
                            identity.verdict().name(),
                            attemptId,
                            route.get().name(),
                            0),
                    () -> new Object[] {LogField.MANIFEST.of(core.manifest().version())});
            reply.answer(HttpResponseStatus.UNAUTHORIZED, "");
            return;
        }
        begin(reply, head, route.get(), attemptId, identity);
    }

    private void begin(CallerReply reply, HttpRequest head, Route route, String attemptId, CallerIdentity identity) {
        long now = RelayLoop.now();
        Optional<String> selected = rotation.next(route, core.manifest().version());
        if (selected.isEmpty()) {
            reply.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(UNAVAILABLE_RETRY_MILLIS));
            return;
        }
        String targetService = selected.get();
        long budgetMillis = parseNonNegative(head.headers().get(RequestFields.TIME_LEFT), DEFAULT_DEADLINE_MILLIS);
        long deadlineMillis = Math.min(budgetMillis, route.timeoutMillis());
        OptionalInt key = key(head, targetService);
        // Calls of backend servers carry no key, and have what is left of their parent's time from the start.
        long spentMillis = key.isPresent() ? callerBudgets.spentMillis(route.name(), budgetMillis) : 0;
        EntryRequest request = new EntryRequest(
                ++lastId,
                attemptId,
                route,
                targetService,
                key,
                now,
                now + Timing.millisToNanos(route.objectiveMillis() - spentMillis),
                Math.max(now, Math.min(answersUntil, now + Timing.millisToNanos(deadlineMillis))));
        CallerExchange exchange =
                new CallerExchange(request, identity, openFrame(head, identity, route), reply, core, loop, pool, log);
        exchanges.put(request.id(), exchange);
        reply.setExchange(exchange);
        exchange.begin();
    }

    private OptionalInt key(HttpRequest head, String targetService) {
        boolean keyed = core.manifest()
                .service(targetService)
                .filter(ServiceRules::keyed)
                .isPresent();
        long key = parseNonNegative(head.headers().get(RequestFields.KEY), -1);
        return keyed && key >= 0 && key <= KeyRange.MAX_KEY ? OptionalInt.of((int) key) : OptionalInt.empty();
    }

    private static long parseNonNegative(String text, long absent) {
        if (text == null) {
            return absent;
        }
        try {
            return Math.max(0, Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            LOG.debug("expected a header to be a whole number but found {}; treating it as absent", text);
            return absent;
        }
    }

    /** Returns whether a header is left out of the fields: Host is sent separately, and nodes set some themselves. */
    private static boolean isNotForwarded(String name) {
        return "host".equalsIgnoreCase(name) || RequestFields.setByNodes(name);
    }

    private RelayOpen openFrame(HttpRequest head, CallerIdentity identity, Route route) {
        return RelayOpen.newBuilder()
                .setMethod(head.method().name())
                .setTarget(head.uri())
                .setHost(head.headers().get(HttpHeaderNames.HOST, ""))
                .setCallerService(settings.service())
                .setTenant(identity.tenantName())
                .setPriority(identity.priority(route))
                .setBodyLength(HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, 0L))
                .addAllFields(EndToEndFields.of(head.headers(), CallerServer::isNotForwarded))
                .build();
    }

    @Override
    public void close() {
        server.close();
        List.copyOf(connections).forEach(CallerConnection::close);
    }
}
