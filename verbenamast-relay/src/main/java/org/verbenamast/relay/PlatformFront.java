package org.verbenamast.relay;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.keys.HoldGrant;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.platform.HeartbeatMessage;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.relay.settings.RelayNodeSettings;
import org.verbenamast.relay.telemetry.MetricsPage;

/** What the platform and the backend server ask of this node: readiness, metrics and answers to heartbeats. */
final class PlatformFront implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(PlatformFront.class);

    private static final int MAX_BODY_BYTES = 256 * 1024;
    private static final int UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;

    private final RelayCore core;
    private final RelayLoop loop;
    private final BooleanSupplier running;
    private final HttpServer ready;
    private final HttpServer heartbeats;
    private final HttpServer metrics;
    private final MetricsPage page;

    PlatformFront(
            Eventloop eventloop,
            RelayNodeSettings settings,
            RelayCore core,
            RelayLoop loop,
            MetricsPage page,
            BooleanSupplier running) {
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.running = Objects.requireNonNull(running, "running");
        this.page = Objects.requireNonNull(page, "page");
        this.ready = server(eventloop, settings.ready(), this::ready);
        this.heartbeats = server(eventloop, settings.heartbeats(), this::heartbeat);
        this.metrics = server(eventloop, settings.metrics(), this::metrics);
    }

    private static HttpServer server(Eventloop eventloop, Address address, AsyncServlet servlet) {
        return HttpServer.builder(eventloop, servlet)
                .withListenAddress(Sockets.toSocketAddress(address))
                .build();
    }

    void listen() throws IOException {
        ready.listen();
        heartbeats.listen();
        metrics.listen();
    }

    private Promise<HttpResponse> ready(HttpRequest request) {
        boolean takes = running.getAsBoolean() && core.ready();
        return (takes ? HttpResponse.ok200() : HttpResponse.ofCode(UNAVAILABLE)).toPromise();
    }

    private Promise<HttpResponse> metrics(HttpRequest request) throws IOException {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                .withBody(page.write())
                .toPromise();
    }

    private Promise<HttpResponse> heartbeat(HttpRequest request) {
        String path = request.getPath();
        if (!path.startsWith(HeartbeatMessage.PATH) || path.length() == HeartbeatMessage.PATH.length()) {
            return HttpResponse.ofCode(NOT_FOUND).toPromise();
        }
        String id = path.substring(HeartbeatMessage.PATH.length());
        if (request.getMethod() == HttpMethod.DELETE) {
            LOG.info("server {} says that it leaves", id);
            loop.run((now, effects) -> core.farewell(id, now, effects));
            return HttpResponse.ok200().toPromise();
        }
        return request.loadBody(MAX_BODY_BYTES).then(body -> beat(id, body.getArray()));
    }

    private Promise<HttpResponse> beat(String id, byte[] bytes) {
        var beat = HeartbeatMessage.decode(id, bytes);
        if (beat.isLeft()) {
            LOG.warn("heartbeat of {} refused: {}", id, beat.getLeft());
            return HttpResponse.ofCode(BAD_REQUEST).toPromise();
        }
        GrantBox box = new GrantBox();
        loop.run((now, effects) -> box.grant = core.heartbeat(beat.get(), now, effects));
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(HeartbeatMessage.answer(box.grant))
                .toPromise();
    }

    /** Carries the result out of the decision; the loop is free when a heartbeat comes, so it is there at once. */
    private static final class GrantBox {
        private Optional<HoldGrant> grant = Optional.empty();
    }

    @Override
    public void close() {
        ready.close();
        heartbeats.close();
        metrics.close();
    }
}
