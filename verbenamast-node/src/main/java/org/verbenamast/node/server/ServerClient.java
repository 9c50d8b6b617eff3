package org.verbenamast.node.server;

import java.net.ConnectException;
import java.util.Objects;
import java.util.function.Consumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.gate.ServerReply;
import org.verbenamast.core.gate.ServerReplyKind;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.node.http.Headers;

/** Speaks to the backend server beside the node. */
public final class ServerClient {

    private final HttpClient http;
    private final int maxBodyBytes;
    private final Consumer<NodeInput> inputs;

    /**
     * Makes a client.
     *
     * @param http the HTTP client
     * @param maxBodyBytes the longest body that is read, in bytes
     * @param inputs takes the answers
     */
    public ServerClient(HttpClient http, int maxBodyBytes, Consumer<NodeInput> inputs) {
        this.http = Objects.requireNonNull(http, "http");
        this.maxBodyBytes = maxBodyBytes;
        this.inputs = Objects.requireNonNull(inputs, "inputs");
    }

    /**
     * Gives a request to the backend server; the answer is handed in later.
     *
     * @param call the request
     * @param traceParent the W3C trace context for this hop, or an empty text
     */
    public void call(Effect.CallServer call, String traceParent) {
        http.request(requestOf(call, traceParent))
                .then(response -> response.loadBody(maxBodyBytes).map(body -> replyOf(response, body)))
                .then((reply, e) -> Promise.of(e == null ? reply : new ServerReply(kindOf(e), null)))
                .whenResult(reply -> inputs.accept(new NodeInput.ServerReplied(call.id(), reply)));
    }

    private static HttpRequest requestOf(Effect.CallServer call, String traceParent) {
        HttpMethod method = HttpMethod.valueOf(call.request().method().name());
        HttpRequest.Builder request = HttpRequest.builder(
                method, "http://" + call.server() + call.request().path());
        call.request()
                .headers()
                .forEach(header -> request.withHeader(io.activej.http.HttpHeaders.of(header.name()), header.value()));
        request.withHeader(Headers.REQUEST_ID, call.id().toString());
        request.withHeader(
                Headers.DEADLINE_MILLIS, Long.toString(Math.max(0, call.remainingNanos() / Timing.NANOS_PER_MILLI)));
        if (call.slice() >= 0) {
            request.withHeader(Headers.KEY, call.request().key());
            request.withHeader(Headers.SLICE, Integer.toString(call.slice()));
            request.withHeader(Headers.EPOCH, Long.toString(call.epoch()));
        }
        if (!traceParent.isEmpty()) {
            request.withHeader(Headers.TRACE_PARENT, traceParent);
        }
        return request.withBody(call.request().body().bytes()).build();
    }

    private static ServerReply replyOf(HttpResponse response, ByteBuf body) {
        byte[] bytes = body.asArray();
        if (response.getHeader(Headers.NOT_RUN) != null) {
            return new ServerReply(ServerReplyKind.SHED, null);
        }
        RequestOutcome.Answered answered =
                new RequestOutcome.Answered(response.getCode(), Headers.passedOn(response), new Body(bytes));
        return new ServerReply(ServerReplyKind.ANSWERED, answered);
    }

    private static ServerReplyKind kindOf(Exception e) {
        boolean neverConnected = e instanceof ConnectException || e.getCause() instanceof ConnectException;
        return neverConnected ? ServerReplyKind.UNREACHABLE : ServerReplyKind.LOST;
    }

    /**
     * Tells the backend server that nobody waits for a request any more.
     *
     * @param cancel the request
     */
    public void cancel(Effect.CancelAtServer cancel) {
        http.request(HttpRequest.post("http://" + cancel.server() + "/control/cancel")
                        .withHeader(Headers.REQUEST_ID, cancel.id().toString())
                        .build())
                .then(response -> response.loadBody())
                .whenResult(ByteBuf::recycle);
    }
}
