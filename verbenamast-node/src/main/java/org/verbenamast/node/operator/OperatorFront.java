package org.verbenamast.node.operator;

import java.io.IOException;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import org.verbenamast.core.membership.MemberTag;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.node.peer.PeerLinks;
import org.verbenamast.node.telemetry.NodeMetrics;

/** Serves operators, the scraper of metrics and the backend server beside the node. */
public final class OperatorFront implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final NodeCore core;
    private final NodeLoop loop;
    private final NodeMetrics metrics;
    private final OperatorCalls calls;
    private final HttpServer server;

    /**
     * Makes a front that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param address where to listen
     * @param core the decisions, which are only read here
     * @param loop takes the inputs
     * @param metrics the node's metrics
     */
    public OperatorFront(Eventloop eventloop, Address address, NodeCore core, NodeLoop loop, NodeMetrics metrics) {
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.calls = new OperatorCalls(loop);
        RoutingServlet routes = RoutingServlet.builder(eventloop)
                .with(HttpMethod.GET, "/metrics", request -> metrics())
                .with(HttpMethod.GET, "/v1/ready", request -> ready())
                .with(HttpMethod.GET, "/v1/status", request -> json(StatusJson.status(this.core)))
                .with(HttpMethod.GET, "/v1/owners", request -> json(StatusJson.owners(this.core, request)))
                .with(HttpMethod.GET, "/v1/table", request -> json(StatusJson.table(this.core)))
                .with(HttpMethod.GET, "/v1/table/versions/:version", calls::version)
                .with(HttpMethod.GET, "/v1/changes", request -> calls.changes())
                .with(HttpMethod.GET, "/v1/changes/:change", calls::change)
                .with(HttpMethod.POST, "/v1/changes", calls::command)
                .with(HttpMethod.GET, "/v1/marks", request -> json(StatusJson.marks(this.core)))
                .with(HttpMethod.POST, "/v1/marks", calls::mark)
                .with(HttpMethod.GET, "/v1/decisions", request -> json(StatusJson.decisions(this.core, request)))
                .with(HttpMethod.POST, "/v1/announce", this::announce)
                .with(HttpMethod.POST, "/v1/stop", request -> stop())
                .build();
        this.server = HttpServer.builder(eventloop, routes)
                .withListenAddress(PeerLinks.socketAddress(address))
                .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
    }

    /**
     * Returns the operators' requests that wait for the node's decisions.
     *
     * @return the requests
     */
    public OperatorCalls calls() {
        return calls;
    }

    private Promise<HttpResponse> ready() {
        boolean ready = core.member().is(MemberTag.JOINED) && !core.member().is(MemberTag.STOPPING);
        return HttpResponse.ofCode(ready ? OK : UNAVAILABLE).toPromise();
    }

    private Promise<HttpResponse> metrics() throws IOException {
        return HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                .withBody(metrics.write())
                .toPromise();
    }

    private static Promise<HttpResponse> json(String json) {
        return HttpResponse.ok200().withJson(json).toPromise();
    }

    private Promise<HttpResponse> announce(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            var announcement = AnnouncementJson.read(body.getArray());
            if (announcement.isLeft()) {
                return refuse(announcement.getLeft().toString());
            }
            loop.feed(new NodeInput.ServerAnnounced(announcement.get()));
            return json("{}");
        });
    }

    private Promise<HttpResponse> stop() {
        loop.feed(new NodeInput.StopRequested());
        return json("{}");
    }

    private static Promise<HttpResponse> refuse(String message) {
        return HttpResponse.ofCode(BAD_REQUEST).withPlainText(message).toPromise();
    }

    @Override
    public void close() {
        server.close();
    }
}
