package org.verbenamast.relay.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.LongStream;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.vavr.control.Either;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoreEffect;
import org.verbenamast.core.rows.StoreResult;
import org.verbenamast.core.rows.StoredRow;
import org.verbenamast.core.store.StoreFailure;
import org.verbenamast.core.watch.FollowEffect;
import org.verbenamast.core.watch.FollowEvent;
import org.verbenamast.core.watch.FollowInput;
import org.verbenamast.core.watch.FollowedTable;
import org.verbenamast.platform.PlatformFault;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.platform.StoreMessage.RawRow;
import org.verbenamast.platform.StoreMessage.Rows;
import org.verbenamast.relay.RelayLoop;

/** The client of the platform's store. It sends each call that a decision asks for once, without retries. */
public final class StoreClient implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

    /** 60 times the usual response time of the store, so that a slow store is still usable. */
    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    /** The platform's limit on the rows of one read. */
    private static final int MAX_PAGE_ROWS = 500;

    private final StoreConnectionPool connections;
    private final StoreObserver observer;
    private final OperatorRows operatorRows;

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
        this.operatorRows = new OperatorRows(observer);
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

    private Promise<StoreResult> commit(StoreEffect.Commit commit) {
        List<RawRow> expected =
                commit.changes().stream().map(StoreRows::expectedRow).toList();
        List<RawRow> writes = commit.changes().stream()
                .filter(change -> change.content().isPresent() || change.expectedVersion() != 0)
                .map(StoreRows::writtenRow)
                .toList();
        return connections
                .send(StoreMessage.commit(expected, writes), CALL_TIMEOUT_MILLIS)
                .map(response -> {
                    if (response.ok()) {
                        return StoreMessage.committed(response.body())
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
        return connections.send(call, CALL_TIMEOUT_MILLIS).map(response -> {
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
     * Sends a call that follows a table: one that reads it whole, or one that waits for changes.
     *
     * @param effect the call
     */
    public void run(FollowEffect effect) {
        if (effect instanceof FollowEffect.ReadAll all) {
            readPages(all, "", List.of(), ResponseTiming.of(RelayLoop.now()));
        } else if (effect instanceof FollowEffect.Await await) {
            awaitChanges(await);
        }
    }

    private static String tableOf(FollowedTable table) {
        return table == FollowedTable.OPERATORS ? StoreMessage.OPERATORS_TABLE : StoreRows.SHARED_TABLE;
    }

    private void readPages(
            FollowEffect.ReadAll all, String fromKey, List<RawRow> previousPages, ResponseTiming previousTiming) {
        connections
                .send(StoreMessage.read(tableOf(all.table()), fromKey, MAX_PAGE_ROWS), CALL_TIMEOUT_MILLIS)
                .whenResult(response -> {
                    long receivedAt = RelayLoop.now();
                    ResponseTiming timing = previousTiming.withNextPage(response.timing());
                    Either<PlatformFault, Rows> rows = rowsOf(response);
                    if (rows.isLeft()) {
                        FollowLog.failed(
                                all.table(), all.callId(), 0, rows.getLeft().detail(), timing);
                        observer.onFollowResult(all.table(), all.callId(), FollowEvent.FAILED, FollowInput.NONE);
                        return;
                    }
                    List<RawRow> read = new ArrayList<>(previousPages);
                    read.addAll(rows.get().rows());
                    if (rows.get().more() && !rows.get().rows().isEmpty()) {
                        String last = read.get(read.size() - 1).key();
                        readPages(all, last + '\0', read, timing);
                        return;
                    }
                    long latest = applyAll(all.table(), read, rows.get().version());
                    FollowLog.answered(
                            all.table(), all.callId(), 0, rows.get().version(), read.size(), timing, receivedAt);
                    FollowInput input = FollowInput.ofAnswer(rows.get().version(), latest, false);
                    observer.onFollowResult(all.table(), all.callId(), FollowEvent.READ, input);
                });
    }

    private Either<PlatformFault, Rows> rowsOf(StoreResponse response) {
        if (!response.ok()) {
            String detail = "status " + response.status();
            return Either.left(new PlatformFault("store answer", PlatformFault.Kind.UNREADABLE, detail));
        }
        return readableRows(response);
    }

    private static Either<PlatformFault, Rows> readableRows(StoreResponse response) {
        Either<PlatformFault, Rows> rows = StoreMessage.rows(response.body());
        rows.peek(read -> read.skipped().forEach(fault -> LOG.warn("skipping a row of the store: {}", fault)));
        return rows;
    }

    private void onAwaitFailed(FollowEffect.Await await, FollowEvent event, String cause, ResponseTiming timing) {
        FollowLog.failed(await.table(), await.callId(), await.afterVersion(), cause, timing);
        observer.onFollowResult(await.table(), await.callId(), event, FollowInput.NONE);
    }

    private void awaitChanges(FollowEffect.Await await) {
        FollowedTable table = await.table();
        StoreMessage.Call call = StoreMessage.follow(tableOf(table), await.afterVersion(), await.waitMillis());
        connections.send(call, await.timeoutMillis()).whenResult(response -> {
            long receivedAt = RelayLoop.now();
            if (response.gone()) {
                onAwaitFailed(await, FollowEvent.HISTORY_GONE, "the history is gone", response.timing());
                return;
            }
            Either<PlatformFault, Rows> rows = rowsOf(response);
            if (rows.isLeft()) {
                onAwaitFailed(await, FollowEvent.FAILED, rows.getLeft().detail(), response.timing());
                return;
            }
            List<RawRow> changed = rows.get().rows();
            long latest = applyChanges(table, changed);
            long version = rows.get().version();
            if (!changed.isEmpty()) {
                FollowLog.answered(
                        table,
                        await.callId(),
                        await.afterVersion(),
                        version,
                        changed.size(),
                        response.timing(),
                        receivedAt);
            }
            FollowInput input = FollowInput.ofAnswer(version, latest, changed.isEmpty());
            observer.onFollowResult(table, await.callId(), FollowEvent.CHANGED, input);
        });
    }

    /** Applies all rows of a table and returns the version of the newest one that nodes also gossip. */
    private long applyAll(FollowedTable table, List<RawRow> rows, long version) {
        if (table == FollowedTable.OPERATORS) {
            operatorRows.applyAll(rows, version);
            return newestVersion(rows.stream().mapToLong(RawRow::version));
        }
        List<StoredRow> shared = StoreRows.decode(rows, observer::knownRow);
        observer.onAllRows(shared, version);
        return newestOwnerVersion(shared);
    }

    /** Applies changed rows of a table and returns the version of the newest one that nodes also gossip. */
    private long applyChanges(FollowedTable table, List<RawRow> rows) {
        if (table == FollowedTable.OPERATORS) {
            operatorRows.applyChanges(rows);
            return newestVersion(rows.stream().mapToLong(RawRow::version));
        }
        List<StoredRow> shared = StoreRows.decode(rows, observer::knownRow);
        if (!rows.isEmpty()) {
            observer.onChangedRows(shared);
        }
        return newestOwnerVersion(shared);
    }

    /** Returns the newest version among the owners of keys, the only shared rows that nodes gossip. */
    private static long newestOwnerVersion(List<StoredRow> shared) {
        return newestVersion(shared.stream()
                .filter(row -> row.ref().table() == RowTable.KEYS)
                .mapToLong(StoredRow::version));
    }

    private static long newestVersion(LongStream versions) {
        return versions.max().orElse(0);
    }

    @Override
    public void close() {
        connections.close();
    }
}
