package org.verbenamast.node.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.net.PrimaryServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.node.http.Headers;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.node.peer.PeerLinks;
import org.verbenamast.node.settings.NodeSettings;
import org.verbenamast.node.telemetry.NodeMetrics;
import org.verbenamast.node.telemetry.Spans;

/**
 * Takes requests from callers over HTTP and gives them their answers.
 *
 * <p>One server listens and another one keeps the connections, so that a node that stops first refuses new connections,
 * then tells each caller to close with its next answer, and closes only connections that stayed idle.
 */
public final class CallerFront implements AutoCloseable {

    /** How long kept-alive connections are answered after listening ended; most callers ask again within a second. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    /** How often a stopping node looks whether callers have closed their connections; a fiftieth of that time. */
    private static final Duration LOOK_EVERY = Duration.ofMillis(20);

    private final MemberId self;
    private final NodeSettings settings;
    private final NodeLoop loop;
    private final Spans spans;
    private final NodeMetrics metrics;
    private final HttpServer connections;
    private final PrimaryServer listener;
    private final Map<RequestId, Waiting> waiting = new HashMap<>();
    private long lastSequence;
    private boolean stopping;

    /**
     * Makes a front that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param self this member
     * @param settings the node's settings
     * @param loop takes the requests
     * @param spans records the hops
     * @param metrics counts the outcomes
     */
    public CallerFront(
            Eventloop eventloop,
            MemberId self,
            NodeSettings settings,
            NodeLoop loop,
            Spans spans,
            NodeMetrics metrics) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.spans = Objects.requireNonNull(spans, "spans");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.connections = HttpServer.builder(eventloop, this::serveAndTell).build();
        this.listener = PrimaryServer.builder(eventloop, connections)
                .withListenAddress(PeerLinks.socketAddress(settings.callers()))
                .withSocketSettings(
                        SocketSettings.builder().withTcpNoDelay(true).build())
                .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        listener.listen();
    }

    private Promise<HttpResponse> serveAndTell(HttpRequest http) {
        return serve(http).map(answer -> stopping ? CallerResponses.last(answer) : answer);
    }

    private Promise<HttpResponse> serve(HttpRequest http) {
        if (Headers.announcedBytes(http) > settings.limits().maxBodyBytes()) {
            return refuse(NotRunReason.BODY_TOO_LARGE);
        }
        return http.loadBody(settings.limits().maxBodyBytes())
                .then((body, e) -> e == null ? take(http, body) : refuse(NotRunReason.BODY_TOO_LARGE));
    }

    private Promise<HttpResponse> take(HttpRequest http, ByteBuf body) {
        RequestId id = new RequestId(self, ++lastSequence);
        CallerRequest request;
        long deadline;
        try {
            request = CallerRequests.of(http, new Body(body.getArray()));
            deadline = NodeLoop.now() + Timing.millisToNanos(deadlineMillis(http));
        } catch (IllegalArgumentException e) {
            return refuse(NotRunReason.MALFORMED);
        }
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        waiting.put(id, new Waiting(answer, NodeLoop.now()));
        CallerRequest traced = spans.callerArrived(id, request);
        loop.feed(new NodeInput.CallerArrived(id, traced, deadline));
        return answer;
    }

    private long deadlineMillis(HttpRequest http) {
        String asked = Headers.textOf(http, Headers.DEADLINE_MILLIS);
        long millis = asked.isEmpty() ? settings.limits().defaultDeadlineMillis() : Long.parseLong(asked);
        return Math.max(0, Math.min(millis, settings.timing().longestRequestMillis()));
    }

    private Promise<HttpResponse> refuse(NotRunReason reason) {
        RequestOutcome outcome = new RequestOutcome.NotRun(reason);
        metrics.callerAnswered(outcome, 0);
        return CallerResponses.of(outcome).toPromise();
    }

    /**
     * Gives a caller its answer.
     *
     * @param reply the answer
     */
    public void reply(Effect.ReplyToCaller reply) {
        Waiting caller = waiting.remove(reply.id());
        if (caller == null) {
            return;
        }
        metrics.callerAnswered(reply.outcome(), NodeLoop.now() - caller.since());
        spans.callerAnswered(reply.id(), reply.outcome());
        caller.answer().trySet(CallerResponses.of(reply.outcome()));
    }

    /**
     * Takes no new connections, lets the answers under way reach their callers, and lets callers close connections.
     *
     * @return completes when no caller is left
     */
    public Promise<?> finish() {
        stopping = true;
        listener.close();
        return awaitCallers(NodeLoop.now() + LINGER.toNanos()).then(connections::close);
    }

    private Promise<Void> awaitCallers(long until) {
        if (connections.getConnectionsCount() == 0 || NodeLoop.now() >= until) {
            return Promise.complete();
        }
        return Promises.delay(LOOK_EVERY).then(() -> awaitCallers(until));
    }

    @Override
    public void close() {
        listener.close();
        connections.close();
    }

    private record Waiting(SettablePromise<HttpResponse> answer, long since) {}
}
