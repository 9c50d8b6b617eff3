package org.verbenamast.ctl;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.membership.ServerAnnouncement;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;
import org.verbenamast.core.table.ChangeCommand;
import org.verbenamast.core.table.ChangeId;
import org.verbenamast.core.table.ChangeRow;
import org.verbenamast.core.table.MarkRow;
import org.verbenamast.core.table.MarkStatus;
import org.verbenamast.core.table.Operators;
import org.verbenamast.core.table.TableRow;
import org.verbenamast.wire.OperatorJson;
import org.verbenamast.wire.RowJson;
import org.verbenamast.wire.WireException;

/** The decisions of a real node behind its operator interface, with a table service in memory. */
final class FakeNode implements OperatorApi {

    private static final long STEP = Timing.millisToNanos(50);

    private final NodeCore core;
    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<Long, byte[]> answers = new HashMap<>();
    private long lastCall;
    private long now;
    boolean storeDown;
    boolean reachable = true;

    FakeNode(Operators operators) {
        ServiceName stock = new ServiceName("stock");
        this.core = new NodeCore(new CoreSettings(
                new MemberId("stock-1", 1),
                stock,
                new Zone("jkt"),
                new Address("127.0.0.1", 25_003),
                List.of(new ServiceSettings(stock, true, 4, 4, true)),
                List.of(),
                Timing.DEFAULT,
                1,
                Set.of(new Zone("bdg")),
                operators,
                1));
        feed(new NodeInput.ServerAnnounced(
                new ServerAnnouncement(stock, new Address("127.0.0.1", 25_001), "s1", 10, 0, false)));
        pass(Timing.millisToNanos(10_000));
    }

    private void pass(long nanos) {
        for (long passed = 0; passed < nanos; passed += STEP) {
            now += STEP;
            feed(new NodeInput.Tick());
        }
    }

    private void feed(NodeInput input) {
        Deque<NodeInput> inputs = new ArrayDeque<>(List.of(input));
        while (!inputs.isEmpty()) {
            for (Effect effect : core.handle(inputs.poll(), now)) {
                if (effect instanceof Effect.CallStore call) {
                    inputs.add(new NodeInput.StoreReplied(call.callId(), serve(call.request())));
                } else if (effect instanceof Effect.ReplyToOperator answer) {
                    answers.put(answer.callId(), OperatorJson.write(answer.answer()));
                } else if (effect instanceof Effect.SendRowsToOperator show
                        && show.reply() instanceof StoreReply.RowsRead read) {
                    answers.put(show.callId(), RowJson.writeReply(read.rows()));
                }
            }
        }
    }

    private StoreReply serve(StoreRequest request) {
        if (storeDown) {
            return new StoreReply.Failed(StoreFailure.UNAVAILABLE);
        }
        if (request instanceof StoreRequest.ReadRow read) {
            Row row = rows.get(read.key());
            return new StoreReply.RowsRead(row == null ? List.of() : List.of(row));
        }
        if (request instanceof StoreRequest.ScanTable scan) {
            return new StoreReply.RowsRead(rows.values().stream()
                    .filter(row -> row.key().table() == scan.table())
                    .toList());
        }
        List<Row> written = new ArrayList<>();
        for (RowWrite write : ((StoreRequest.Commit) request).writes()) {
            written.add(new Row(write.key(), write.expectedVersion() + 1, write.value()));
        }
        written.forEach(row -> rows.put(row.key(), row));
        return new StoreReply.Committed(written);
    }

    @Override
    public Either<CtlFault, Reply> get(Address node, String path) {
        if (!reachable) {
            return Either.left(CtlFault.shouldBeReachable(node.toString(), "connection refused"));
        }
        if (path.equals("/v1/table")) {
            Row row = core.directory().row(TableRow.KEY);
            return ok(RowJson.writeReply(row == null ? List.of() : List.of(row)));
        }
        if (path.equals("/v1/marks")) {
            return ok(OperatorJson.write(core.directory().marks().all().stream()
                    .map(mark -> new MarkStatus(mark, core.marks().isDurable(mark)))
                    .toList()));
        }
        if (path.equals("/v1/status")) {
            return ok(status().getBytes(StandardCharsets.UTF_8));
        }
        if (path.startsWith("/v1/owners")) {
            return ok("[{\"slice\": \"stock#2\", \"owner\": \"stock-1~1\", \"epoch\": 1}]"
                    .getBytes(StandardCharsets.UTF_8));
        }
        if (path.startsWith("/v1/decisions?subject=")) {
            String subject = path.substring("/v1/decisions?subject=".length());
            return ok(OperatorJson.write(core.decisions().find(d -> d.subject().equals(subject))));
        }
        return rows(path);
    }

    private String status() {
        return """
                {"joined": true, "stopping": false, "slicesOwned": %d, "running": 0, "tableVersion": %d,
                "members": [{"member": "stock-1~1", "service": "stock", "zone": "jkt", "status": "ACTIVE",
                "peer": "127.0.0.1:25003"}]}
                """.formatted(
                core.ownership().ownedSliceCount(), core.directory().table().version());
    }

    private Either<CtlFault, Reply> rows(String path) {
        String id = path.substring(path.lastIndexOf('/') + 1);
        StoreRequest request = new StoreRequest.ScanTable(TableName.CHANGES);
        if (path.startsWith("/v1/table/versions/")) {
            request = new StoreRequest.ReadRow(TableRow.versionKey(Long.parseLong(id)));
        } else if (path.startsWith("/v1/changes/")) {
            request = new StoreRequest.ReadRow(ChangeRow.keyOf(new ChangeId(id)));
        }
        long call = ++lastCall;
        feed(new NodeInput.RowsRequested(call, request));
        return answered(call);
    }

    @Override
    public Either<CtlFault, Reply> post(Address node, String path, byte[] body) {
        long call = ++lastCall;
        try {
            feed(
                    path.equals("/v1/marks")
                            ? new NodeInput.MarkCommanded(call, OperatorJson.read(body, MarkRow.class))
                            : new NodeInput.ChangeCommanded(call, OperatorJson.read(body, ChangeCommand.class)));
        } catch (WireException e) {
            throw new IllegalStateException(e);
        }
        pass(Timing.millisToNanos(2_000));
        return answered(call);
    }

    private Either<CtlFault, Reply> answered(long call) {
        return answers.containsKey(call)
                ? ok(answers.get(call))
                : Either.right(
                        new Reply(503, "the platform's table service should answer".getBytes(StandardCharsets.UTF_8)));
    }

    private static Either<CtlFault, Reply> ok(byte[] body) {
        return Either.right(new Reply(200, body));
    }

    @Override
    public void pause(long millis) {
        pass(Timing.millisToNanos(millis));
    }
}
