package org.verbenamast.node.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongFunction;

import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.ChangeId;
import org.verbenamast.core.table.ChangeRow;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.TableRow;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.RowJson;
import org.verbenamast.wire.WireException;

/** The operators' requests that wait for the node's decisions. */
public final class OperatorCalls {

    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final NodeLoop loop;
    private final Map<Long, SettablePromise<HttpResponse>> waiting = new HashMap<>();
    private long lastCall;

    /**
     * Makes an empty collection.
     *
     * @param loop takes the inputs
     */
    OperatorCalls(NodeLoop loop) {
        this.loop = Objects.requireNonNull(loop, "loop");
    }

    Promise<HttpResponse> command(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            try {
                ChangeCommand command = OperatorJson.read(body.getArray(), ChangeCommand.class);
                return ask(call -> new NodeInput.ChangeCommanded(call, command));
            } catch (WireException e) {
                return refuse(e.getMessage());
            }
        });
    }

    Promise<HttpResponse> mark(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).then(body -> {
            try {
                MarkRow mark = OperatorJson.read(body.getArray(), MarkRow.class);
                return ask(call -> new NodeInput.MarkCommanded(call, mark));
            } catch (WireException e) {
                return refuse(e.getMessage());
            }
        });
    }

    Promise<HttpResponse> changes() {
        return rows(new StoreRequest.ScanTable(TableName.CHANGES));
    }

    Promise<HttpResponse> change(HttpRequest request) {
        try {
            ChangeId change = new ChangeId(request.getPathParameter("change"));
            return rows(new StoreRequest.ReadRow(ChangeRow.keyOf(change)));
        } catch (IllegalArgumentException e) {
            return refuse(e.getMessage());
        }
    }

    Promise<HttpResponse> version(HttpRequest request) {
        try {
            long version = Long.parseLong(request.getPathParameter("version"));
            return rows(new StoreRequest.ReadRow(TableRow.versionKey(version)));
        } catch (NumberFormatException e) {
            return refuse("version should be a whole number");
        }
    }

    private Promise<HttpResponse> rows(StoreRequest request) {
        return ask(call -> new NodeInput.RowsRequested(call, request));
    }

    private Promise<HttpResponse> ask(LongFunction<NodeInput> input) {
        long call = ++lastCall;
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        waiting.put(call, answer);
        loop.feed(input.apply(call));
        return answer;
    }

    /**
     * Gives an operator the answer to a command.
     *
     * @param answer the answer
     */
    public void answer(Effect.ReplyToOperator answer) {
        String json = new String(OperatorJson.write(answer.answer()), java.nio.charset.StandardCharsets.UTF_8);
        end(answer.callId(), HttpResponse.ok200().withJson(json).build());
    }

    /**
     * Gives an operator rows of the table service.
     *
     * @param show the rows, or why there are none
     */
    public void show(Effect.SendRowsToOperator show) {
        if (show.reply() instanceof StoreReply.RowsRead read) {
            String json = new String(RowJson.writeReply(read.rows()), java.nio.charset.StandardCharsets.UTF_8);
            end(show.callId(), HttpResponse.ok200().withJson(json).build());
        } else {
            end(
                    show.callId(),
                    HttpResponse.ofCode(UNAVAILABLE)
                            .withPlainText("the platform's table service should answer")
                            .build());
        }
    }

    private void end(long call, HttpResponse response) {
        SettablePromise<HttpResponse> answer = waiting.remove(call);
        if (answer != null) {
            answer.trySet(response);
        }
    }

    private static Promise<HttpResponse> refuse(String message) {
        return HttpResponse.ofCode(BAD_REQUEST).withPlainText(message).toPromise();
    }
}
