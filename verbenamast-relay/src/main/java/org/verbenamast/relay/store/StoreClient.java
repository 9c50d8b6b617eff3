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

/** The client of the platform's store: makes the calls that decisions ask for, once each. */
public final class StoreClient implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(StoreClient.class);

    /** Time for a call, in milliseconds; 60 times the store's usual answer, so that a slow store still counts. */
    private static final long CALL_MILLIS = 1_000;
    /** Most rows of one read; the platform's own limit. */
    private static final int PAGE = 500;

    private final StoreConnection connection;
    private final StoreObserver observer;
    private final OperatorRows operators;

    /**
     * Makes a client without connections.
     *
     * @param eventloop the one event loop of the process
     * @param store where the store is
     * @param observer is told what the store answered
     */
    public StoreClient(Eventloop eventloop, Address store, StoreObserver observer) {
        this.connection = new StoreConnection(eventloop, store);
        this.observer = Objects.requireNonNull(observer, "observer");
        this.operators = new OperatorRows(observer);
    }

    /**
     * Makes a call for a decision.
     *
     * @param effect the call
     */
    public void run(StoreEffect effect) {
        Promise<StoreResult> result =
                effect instanceof StoreEffect.Commit commit ? commit(commit) : read((StoreEffect.Read) effect);
        result.whenResult(got -> observer.stored(effect.purpose(), effect.callId(), got));
    }

    private Promise<StoreResult> commit(StoreEffect.Commit commit) {
        List<RawRow> expected =
                commit.changes().stream().map(StoreRows::expected).toList();
        List<RawRow> writes = commit.changes().stream()
                .filter(change -> change.content().isPresent() || change.expectedVersion() != 0)
                .map(StoreRows::written)
                .toList();
        return connection
                .send(StoreMessage.commit(expected, writes), CALL_MILLIS)
                .map(answer -> {
                    if (answer.ok()) {
                        return StoreMessage.committed(answer.body())
                                .<StoreResult>fold(this::unreadable, StoreResult.Committed::new);
                    }
                    if (answer.conflict()) {
                        return StoreMessage.rows(answer.body())
                                .<StoreResult>fold(this::unreadable, rows -> conflict(commit, rows));
                    }
                    return new StoreResult.Failed(answer.failure());
                });
    }

    private StoreResult unreadable(PlatformFault fault) {
        LOG.warn("the store's answer can't be read: {}", fault);
        return new StoreResult.Failed(StoreFailure.UNREADABLE);
    }

    private static StoreResult conflict(StoreEffect.Commit commit, Rows rows) {
        List<RowRef> refs =
                commit.changes().stream().map(change -> change.ref()).toList();
        return new StoreResult.Conflicted(withMissing(refs, StoreRows.decode(rows.rows()), rows.version()));
    }

    /** Adds the rows that were asked for and do not exist. */
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
        return connection.send(call, CALL_MILLIS).map(answer -> {
            if (!answer.ok()) {
                return new StoreResult.Failed(answer.failure());
            }
            return StoreMessage.rows(answer.body()).<StoreResult>fold(this::unreadable, rows -> {
                List<StoredRow> found = StoreRows.decode(rows.rows()).stream()
                        .filter(row -> row.ref().equals(ref))
                        .toList();
                return new StoreResult.Read(withMissing(List.of(ref), found, rows.version()));
            });
        });
    }

    /**
     * Makes a call that follows a table.
     *
     * @param effect the call
     */
    public void run(FollowEffect effect) {
        if (effect instanceof FollowEffect.ReadAll all) {
            readPages(all, "", new ArrayList<>());
        } else if (effect instanceof FollowEffect.Await await) {
            await(await);
        }
    }

    private static String tableOf(FollowedTable table) {
        return table == FollowedTable.OPERATORS ? StoreMessage.OPERATORS_TABLE : StoreRows.SHARED_TABLE;
    }

    private void readPages(FollowEffect.ReadAll all, String from, List<RawRow> before) {
        connection
                .send(StoreMessage.read(tableOf(all.table()), from, PAGE), CALL_MILLIS)
                .whenResult(answer -> {
                    Either<PlatformFault, Rows> rows = rowsOf(answer);
                    if (rows.isLeft()) {
                        failed(all.table(), all.callId(), rows.getLeft());
                        return;
                    }
                    List<RawRow> read = new ArrayList<>(before);
                    read.addAll(rows.get().rows());
                    if (rows.get().more() && !rows.get().rows().isEmpty()) {
                        String last = read.get(read.size() - 1).key();
                        readPages(all, last + '\0', read);
                        return;
                    }
                    long latest = takeAll(all.table(), read, rows.get().version());
                    FollowInput input = FollowInput.ofAnswer(rows.get().version(), latest, false);
                    observer.followed(all.table(), all.callId(), FollowEvent.READ, input);
                });
    }

    private Either<PlatformFault, Rows> rowsOf(StoreAnswer answer) {
        if (!answer.ok()) {
            String detail = "status " + answer.status();
            return Either.left(new PlatformFault("store answer", PlatformFault.Kind.UNREADABLE, detail));
        }
        return StoreMessage.rows(answer.body());
    }

    private void failed(FollowedTable table, long ticket, PlatformFault fault) {
        LOG.info("table {} could not be followed: {}", table, fault.detail());
        observer.followed(table, ticket, FollowEvent.FAILED, FollowInput.NONE);
    }

    private void await(FollowEffect.Await await) {
        FollowedTable table = await.table();
        StoreMessage.Call call = StoreMessage.follow(tableOf(table), await.afterVersion(), await.waitMillis());
        connection.send(call, await.timeoutMillis()).whenResult(answer -> {
            if (answer.gone()) {
                observer.followed(table, await.callId(), FollowEvent.HISTORY_GONE, FollowInput.NONE);
                return;
            }
            Either<PlatformFault, Rows> rows = rowsOf(answer);
            if (rows.isLeft()) {
                failed(table, await.callId(), rows.getLeft());
                return;
            }
            List<RawRow> changed = rows.get().rows();
            long latest = takeChanged(table, changed);
            FollowInput input = FollowInput.ofAnswer(rows.get().version(), latest, changed.isEmpty());
            observer.followed(table, await.callId(), FollowEvent.CHANGED, input);
        });
    }

    /** Hands on all rows and returns the version of the newest one that nodes tell each other of. */
    private long takeAll(FollowedTable table, List<RawRow> rows, long version) {
        if (table == FollowedTable.OPERATORS) {
            operators.all(rows, version);
            return newest(rows.stream().mapToLong(RawRow::version));
        }
        List<StoredRow> shared = StoreRows.decode(rows);
        observer.readAll(shared, version);
        return newestOwners(shared);
    }

    /** Hands on changed rows and returns the version of the newest one that nodes tell each other of. */
    private long takeChanged(FollowedTable table, List<RawRow> rows) {
        if (table == FollowedTable.OPERATORS) {
            operators.changed(rows);
            return newest(rows.stream().mapToLong(RawRow::version));
        }
        List<StoredRow> shared = StoreRows.decode(rows);
        if (!rows.isEmpty()) {
            observer.changed(shared);
        }
        return newestOwners(shared);
    }

    /** Of the shared rows, nodes tell each other of the owners of keys. */
    private static long newestOwners(List<StoredRow> shared) {
        return newest(shared.stream()
                .filter(row -> row.ref().table() == RowTable.KEYS)
                .mapToLong(StoredRow::version));
    }

    private static long newest(LongStream versions) {
        return versions.max().orElse(0);
    }

    @Override
    public void close() {
        connection.close();
    }
}
