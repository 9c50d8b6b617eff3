package org.verbenamast.node.platform;

import java.net.ConnectException;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.wire.ReadRows;
import org.verbenamast.wire.RowJson;
import org.verbenamast.wire.WireException;

/** Speaks to the platform's table service. */
public final class PlatformClient {

    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;

    private final HttpClient http;
    private final String base;
    private final Consumer<NodeInput> inputs;
    private final Consumer<WireException> refused;

    /**
     * Makes a client.
     *
     * @param http the HTTP client
     * @param platform where the table service listens
     * @param inputs takes the answers
     * @param refused takes the faults of rows that can't be read
     */
    public PlatformClient(
            HttpClient http, Address platform, Consumer<NodeInput> inputs, Consumer<WireException> refused) {
        this.http = Objects.requireNonNull(http, "http");
        this.base = "http://" + platform;
        this.inputs = Objects.requireNonNull(inputs, "inputs");
        this.refused = Objects.requireNonNull(refused, "refused");
    }

    /**
     * Sends a request; the answer is handed in later.
     *
     * @param call the request and its number
     */
    public void call(Effect.CallStore call) {
        http.request(requestOf(call.request()))
                .then(response -> response.loadBody().map(body -> replyOf(response, body.asArray())))
                .then((reply, e) -> Promise.of(e == null ? reply : new StoreReply.Failed(failureOf(e))))
                .whenResult(reply -> inputs.accept(new NodeInput.StoreReplied(call.callId(), reply)));
    }

    private HttpRequest requestOf(StoreRequest request) {
        if (request instanceof StoreRequest.ReadRow read) {
            return HttpRequest.get(base + "/v1/tables/" + read.key().table() + "/"
                            + read.key().id())
                    .build();
        }
        if (request instanceof StoreRequest.ScanTable scan) {
            return HttpRequest.get(base + "/v1/tables/" + scan.table()).build();
        }
        return HttpRequest.post(base + "/v1/transactions")
                .withBody(RowJson.writeCommit((StoreRequest.Commit) request))
                .build();
    }

    private StoreReply replyOf(HttpResponse response, byte[] body) {
        return switch (response.getCode()) {
            case OK, CONFLICT -> rowsOf(response, body);
            case TOO_MANY -> new StoreReply.Failed(StoreFailure.THROTTLED);
            case UNAVAILABLE -> new StoreReply.Failed(StoreFailure.UNAVAILABLE);
            default -> new StoreReply.Failed(StoreFailure.UNREADABLE);
        };
    }

    private StoreReply rowsOf(HttpResponse response, byte[] body) {
        try {
            ReadRows read = RowJson.readReply(body);
            read.refused().forEach(refused);
            List<Row> rows = read.rows();
            boolean ofCommit = response.getCode() == CONFLICT || response.getHeader(PlatformHeaders.COMMITTED) != null;
            if (ofCommit && !read.refused().isEmpty()) {
                return new StoreReply.Failed(StoreFailure.UNREADABLE);
            }
            if (response.getCode() == CONFLICT) {
                return new StoreReply.Conflicted(rows);
            }
            boolean committed = response.getHeader(PlatformHeaders.COMMITTED) != null;
            return committed ? new StoreReply.Committed(rows) : new StoreReply.RowsRead(rows);
        } catch (WireException e) {
            return new StoreReply.Failed(StoreFailure.UNREADABLE);
        }
    }

    private static StoreFailure failureOf(Exception e) {
        return e instanceof ConnectException ? StoreFailure.UNAVAILABLE : StoreFailure.NO_ANSWER;
    }
}
