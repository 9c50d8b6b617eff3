package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StoreEra;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.watch.FollowEffect;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowResult;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.platform.PlatformFault;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.platform.StoreMessage.Rows;
import org.verbenamast.relay.RelayLoop;

/** The client of the platform's store. It sends each call that a decision asks for once, without retries. */
public final class StoreClient implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

    /** Time for the store to begin a response, in milliseconds; hundreds of times its usual response time. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    /** The platform's limit on the rows of one read. */
    private static final int MAX_PAGE_ROWS = 500;

    private final StoreConnectionPool connections;
    private final StoreObserver observer;
    private final Map<WaitingCall, StoreCall> waiting = new HashMap<>();
    private StoreEra era = StoreEra.NONE;

    private record WaitingCall(FollowedTable table, long callId) {}

    /**
     * Creates a client without connections.
     *
     * @param eventloop the event loop of the process
     * @param store the address of the store
     * @param observer receives the results of the calls
     */
    public StoreClient(Eventloop eventloop, Address store, StoreObserver observer) {
        this.connections = new StoreConnectionPool(eventloop, store);
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /**
     * Sends a call that a decision asked for; the observer receives its result.
     *
     * @param effect the call
     */
    public void run(StoreEffect effect) {
        Promise<StoreResult> result =
                effect instanceof StoreEffect.Commit commit ? commit(commit) : read((StoreEffect.Read) effect);
        result.whenResult(received -> observer.onStoreResult(effect.purpose(), effect.callId(), received));
    }

    /** Records the era of a response. One of a former era counts as lost. */
    private StoreResponse current(StoreResponse response) {
        if (!era.accepts(response.era())) {
            LOG.warn("ignoring a response of the store's former era {}", response.era());
            return StoreResponse.missing(response.timing());
        }
        StoreEra next = era.after(response.era());
        if (!next.equals(era)) {
            era = next;
            observer.onStoreEra(era.number());
        }
        return response;
    }

    private Promise<StoreResult> commit(StoreEffect.Commit commit) {
        if (!era.covers(commit)) {
            return Promise.of(new StoreResult.Failed(StoreFailure.UNAVAILABLE));
        }
        List<RawRow> expected =
                commit.changes().stream().map(StoreRows::expectedRow).toList();
        List<RawRow> writes = commit.changes().stream()
                .filter(change -> change.content().isPresent() || change.expectedVersion() != 0)
                .map(StoreRows::writtenRow)
                .toList();
        return connections
                .send(StoreMessage.commit(expected, writes), CALL_TIMEOUT_MILLIS)
                .response()
                .map(this::current)
                .map(response -> {
                    if (!era.covers(commit)) {
                        return new StoreResult.Failed(StoreFailure.NO_ANSWER);
                    }
                    if (response.ok()) {
                        return StoreMessage.committed(response.body())
                                .flatMap(version -> StoreRows.inEra(era, version))
                                .<StoreResult>fold(this::unreadable, StoreResult.Committed::new);
                    }
                    if (response.conflict()) {
                        return readableRows(response)
                                .<StoreResult>fold(this::unreadable, rows -> conflict(commit, rows));
                    }
                    return new StoreResult.Failed(response.failure());
                });
    }

    private StoreResult unreadable(PlatformFault fault) {
        LOG.warn("the response of the store can't be decoded: {}", fault);
        return new StoreResult.Failed(StoreFailure.UNREADABLE);
    }

    private static StoreResult conflict(StoreEffect.Commit commit, Rows rows) {
        List<RowRef> refs =
                commit.changes().stream().map(change -> change.ref()).toList();
        return new StoreResult.Conflicted(withMissing(refs, StoreRows.decode(rows.rows()), rows.version()));
    }

    /** Adds an empty row for each requested one that does not exist. */
    private static List<StoredRow> withMissing(List<RowRef> refs, List<StoredRow> found, long version) {
        List<StoredRow> rows = new ArrayList<>(found);
        for (RowRef ref : refs) {
            if (found.stream().noneMatch(row -> row.ref().equals(ref))) {
                rows.add(new StoredRow(ref, version, Optional.empty()));
            }
        }
        return rows;
    }

    private Promise<StoreResult> read(StoreEffect.Read read) {
        RowRef ref = read.refs().get(0);
        StoreMessage.Call call = StoreMessage.read(StoreRows.tableOf(ref.table()), StoreRows.keyOf(ref), 1);
        return connections
                .send(call, CALL_TIMEOUT_MILLIS)
                .response()
                .map(this::current)
                .map(response -> {
                    if (!response.ok()) {
                        return new StoreResult.Failed(response.failure());
                    }
                    return readableRows(response).<StoreResult>fold(this::unreadable, rows -> {
                        List<StoredRow> found = StoreRows.decode(rows.rows()).stream()
                                .filter(row -> row.ref().equals(ref))
                                .toList();
                        return new StoreResult.Read(withMissing(List.of(ref), found, rows.version()));
                    });
                });
    }

    /**
     * Sends a call that follows a table, one that reads it whole or one that waits for changes, or cancels one.
     *
     * @param effect the call
     */
    public void run(FollowEffect effect) {
        if (effect instanceof FollowEffect.ReadAll all) {
            readPages(all, "", new TablePages(List.of(), 0, ResponseTiming.of(RelayLoop.now())));
        } else if (effect instanceof FollowEffect.Await await) {
            awaitChanges(await);
        } else if (effect instanceof FollowEffect.Cancel cancel) {
            Optional.ofNullable(waiting.remove(new WaitingCall(cancel.table(), cancel.callId())))
                    .ifPresent(StoreCall::close);
        }
    }

    private void readPages(FollowEffect.ReadAll all, String fromKey, TablePages previous) {
        connections
                .send(
                        StoreMessage.read(TableRows.of(all.table()).storeTable(), fromKey, MAX_PAGE_ROWS),
                        all.timeoutMillis())
                .response()
                .map(this::current)
                .whenResult(response -> endCall(all.table(), all.callId(), () -> onPage(all, previous, response)));
    }

    /** Handles a response. Whatever goes wrong with it, the call that follows the table ends. */
    private void endCall(FollowedTable table, long callId, Runnable handler) {
        try {
            handler.run();
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("an answer of table {} could not be handled", table, e);
            onFailed(table, callId, FollowEvent.FAILED);
        }
    }

    private void onPage(FollowEffect.ReadAll all, TablePages previous, StoreResponse response) {
        long receivedAt = RelayLoop.now();
        Either<PlatformFault, Rows> rows = rowsOf(response);
        if (rows.isRight() && !previous.isOf(era)) {
            rows = Either.left(
                    new PlatformFault("store answer", PlatformFault.Kind.UNREADABLE, "the pages are of two eras"));
        }
        if (rows.isLeft()) {
            ResponseTiming timing = previous.timing().withNextPage(response.timing());
            FollowLog.failed(all.table(), all.callId(), 0, rows.getLeft().detail(), timing);
            onFailed(all.table(), all.callId(), FollowEvent.FAILED);
            return;
        }
        TablePages pages = previous.with(rows.get(), response.timing());
        if (rows.get().more() && !rows.get().rows().isEmpty()) {
            readPages(all, pages.lastKey() + '\0', pages);
            return;
        }
        TableRows.of(all.table()).pass(observer, all.callId(), FollowEvent.READ, pages.answer(), pages.rows());
        FollowLog.answered(
                all.table(), all.callId(), 0, pages.version(), pages.rows().size(), pages.timing(), receivedAt);
    }

    private Either<PlatformFault, Rows> rowsOf(StoreResponse response) {
        if (!response.ok()) {
            String detail = "status " + response.status();
            return Either.left(new PlatformFault("store answer", PlatformFault.Kind.UNREADABLE, detail));
        }
        return readableRows(response);
    }

    /** Decodes rows, whose versions are of the store's era. */
    private Either<PlatformFault, Rows> readableRows(StoreResponse response) {
        Either<PlatformFault, Rows> rows =
                StoreMessage.rows(response.body()).flatMap(read -> StoreRows.inEra(era, read));
        rows.peek(read -> read.skipped().forEach(fault -> LOG.warn("skipping a row of the store: {}", fault)));
        return rows;
    }

    private void onFailed(FollowedTable table, long callId, FollowEvent event) {
        observer.onFollowFailed(new FollowResult(table, callId, event, FollowInput.NONE));
    }

    private void awaitChanges(FollowEffect.Await await) {
        FollowedTable table = await.table();
        WaitingCall key = new WaitingCall(table, await.callId());
        StoreMessage.Call message = StoreMessage.follow(
                TableRows.of(table).storeTable(),
                StoreVersion.ofPacked(await.afterVersion()).number(),
                await.waitMillis());
        StoreCall call = connections
                .send(message, await.timeoutMillis(), await.maxBytes())
                .whenArriving(() -> observer.onAnswerArriving(table, await.callId()));
        waiting.put(key, call);
        call.response().map(this::current).whenResult(response -> {
            waiting.remove(key);
            endCall(table, await.callId(), () -> onChanges(await, response));
        });
    }

    private void onChanges(FollowEffect.Await await, StoreResponse response) {
        long receivedAt = RelayLoop.now();
        if (response.gone()) {
            onAwaitFailed(await, FollowEvent.HISTORY_GONE, "the history is gone", response.timing());
            return;
        }
        if (response.oversized()) {
            onAwaitFailed(await, FollowEvent.OVERSIZED, "the changes are longer than the table", response.timing());
            return;
        }
        Either<PlatformFault, Rows> rows = rowsOf(response);
        if (rows.isLeft()) {
            onAwaitFailed(await, FollowEvent.FAILED, rows.getLeft().detail(), response.timing());
            return;
        }
        List<RawRow> changed = rows.get().rows();
        boolean empty = changed.isEmpty() && rows.get().skipped().isEmpty();
        long version = rows.get().version();
        FollowInput answer = FollowInput.ofAnswer(version, 0, empty).withBytes(response.body().length);
        TableRows.of(await.table()).pass(observer, await.callId(), FollowEvent.CHANGED, answer, changed);
        if (!changed.isEmpty()) {
            FollowLog.answered(
                    await.table(),
                    await.callId(),
                    await.afterVersion(),
                    version,
                    changed.size(),
                    response.timing(),
                    receivedAt);
        }
    }

    private void onAwaitFailed(FollowEffect.Await await, FollowEvent event, String cause, ResponseTiming timing) {
        FollowLog.failed(await.table(), await.callId(), await.afterVersion(), cause, timing);
        onFailed(await.table(), await.callId(), event);
    }

    @Override
    public void close() {
        waiting.values().forEach(StoreCall::close);
        connections.close();
    }
}
