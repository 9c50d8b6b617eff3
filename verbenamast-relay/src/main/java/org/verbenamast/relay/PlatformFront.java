package org.verbenamast.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.backend.NoticeEffect;
import org.verbenamast.core.backend.ServerNotice;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.platform.HeartbeatMessage;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.settings.RelayNodeSettings;
import org.verbenamast.relay.telemetry.MetricsPage;

/** Serves the HTTP endpoints for the platform (readiness, metrics) and for the backend server (heartbeats). */
final class PlatformFront implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformFront.class);

    private static final int MAX_BODY_BYTES = 256 * 1024;
    /** Most connections to each endpoint; the platform and one server use a few of them. */
    private static final int MAX_CONNECTIONS = 64;
    /** Time for a request to arrive or an answer to be read on, as long as for the head of a caller's request. */
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(3);

    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    private final RelayCore core;
    private final RelayLoop loop;
    private final BooleanSupplier acceptsRequests;
    private final HttpServer readyServer;
    private final HttpServer heartbeatServer;
    private final HttpServer metricsServer;
    private final MetricsPage metricsPage;
    private final Map<Long, UnansweredNotice> unanswered = new HashMap<>();
    private long lastCallId;

    PlatformFront(
            Eventloop eventloop,
            RelayNodeSettings settings,
            RelayCore core,
            RelayLoop loop,
            MetricsPage metricsPage,
            BooleanSupplier acceptsRequests) {
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.acceptsRequests = Objects.requireNonNull(acceptsRequests, "acceptsRequests");
        this.metricsPage = Objects.requireNonNull(metricsPage, "metricsPage");
        this.readyServer = server(eventloop, settings.ready(), this::ready);
        this.heartbeatServer = server(eventloop, settings.heartbeats(), this::heartbeat);
        this.metricsServer = server(eventloop, settings.metrics(), this::metrics);
    }

    private static HttpServer server(Eventloop eventloop, Address address, AsyncServlet servlet) {
        ConnectionLimit limit = new ConnectionLimit();
        HttpServer server = HttpServer.builder(eventloop, servlet)
                .withListenAddress(Sockets.toSocketAddress(address))
                .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                .withMaxBodySize(MAX_BODY_BYTES)
                .withAcceptFilter(limit)
                .build();
        limit.server = server;
        return server;
    }

    void listen() throws IOException {
        readyServer.listen();
        heartbeatServer.listen();
        metricsServer.listen();
    }

    private Promise<HttpResponse> ready(HttpRequest request) {
        boolean isReady = acceptsRequests.getAsBoolean() && core.isReady();
        return (isReady ? HttpResponse.ok200() : HttpResponse.ofCode(UNAVAILABLE)).toPromise();
    }

    private Promise<HttpResponse> metrics(HttpRequest request) throws IOException {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                .withBody(metricsPage.write())
                .toPromise();
    }

    private Promise<HttpResponse> heartbeat(HttpRequest request) {
        String path = request.getPath();
        if (!path.startsWith(HeartbeatMessage.PATH) || path.length() == HeartbeatMessage.PATH.length()) {
            return HttpResponse.ofCode(NOT_FOUND).toPromise();
        }
        String id = path.substring(HeartbeatMessage.PATH.length());
        if (request.getMethod() == HttpMethod.DELETE) {
            LOG.info("server {} announced that it is leaving", id);
            return onNotice(ServerNotice.leaving(id));
        }
        return request.loadBody(MAX_BODY_BYTES).then(body -> onHeartbeat(id, body.getArray()));
    }

    private Promise<HttpResponse> onHeartbeat(String id, byte[] bytes) {
        var heartbeat = HeartbeatMessage.decode(id, bytes);
        if (heartbeat.isLeft()) {
            LOG.warn("heartbeat of server {} refused: {}", id, heartbeat.getLeft());
            return HttpResponse.ofCode(BAD_REQUEST).toPromise();
        }
        return onNotice(ServerNotice.of(heartbeat.get()));
    }

    private Promise<HttpResponse> onNotice(ServerNotice notice) {
        long callId = ++lastCallId;
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        unanswered.put(callId, new UnansweredNotice(notice, answer));
        loop.run((now, effects) -> core.onNotice(callId, notice, now, effects));
        return answer;
    }

    /** Answers a notice of the server. */
    void run(NoticeEffect effect) {
        UnansweredNotice unansweredNotice = unanswered.remove(effect.callId());
        if (effect instanceof NoticeEffect.Confirm confirm) {
            unansweredNotice
                    .answer()
                    .set(HttpResponse.ok200()
                            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                            .withBody(HeartbeatMessage.answer(confirm.grant()))
                            .build());
        } else if (effect instanceof NoticeEffect.Reject reject) {
            LOG.warn(
                    "notice of server {} not confirmed: {}",
                    unansweredNotice.notice().id(),
                    reject.reason());
            unansweredNotice
                    .answer()
                    .set(HttpResponse.ofCode(HeartbeatMessage.status(reject.reason()))
                            .build());
        }
    }

    /** Rejects connections to a server that has as many as it may. */
    private static final class ConnectionLimit implements AbstractReactiveServer.AcceptFilter {

        private HttpServer server;

        @Override
        public boolean filterAccept(
                SocketChannel channel, InetSocketAddress local, InetAddress remote, boolean encrypted) {
            return server.getConnectionsCount() >= MAX_CONNECTIONS;
        }
    }

    private record UnansweredNotice(ServerNotice notice, SettablePromise<HttpResponse> answer) {}

    @Override
    public void close() {
        readyServer.close();
        heartbeatServer.close();
        metricsServer.close();
    }
}
