package org.verbenamast.core.membership;

import java.util.Objects;
import java.util.Random;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;
import org.verbenamast.core.store.TableName;

/**
 * Reads the tables at the start, again when the node has joined, and then at an interval that grows with the number of
 * members. The fleet as a whole therefore reads them every few seconds, however many nodes it has.
 */
public final class TableReadController {

    /** The names that the chart file may use. */
    public static final Vocabulary<TableReadEvent, TableReadGuard, TableReadAction, TableReadTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    TableReadEvent.class,
                    TableReadGuard.class,
                    TableReadAction.class,
                    TableReadTimer.class,
                    NoTag.class);

    private static final long FIRST_RETRY_DELAY_MILLIS = 500;
    private static final int MAX_DOUBLINGS = 4;
    private static final long REREAD_DELAY_MILLIS_PER_MEMBER = 4_000;
    private static final long MIN_REREAD_DELAY_MILLIS = 30_000;
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final CoreSettings settings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final Random random;
    private final ChartInstances<MemberId, TableReadEvent, TableReadData, TableReadInput> tableRead;
    private boolean started;
    private boolean joined;

    /**
     * Creates a controller that has read nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink receives the rows that this controller reads
     * @param listener notified of each transition
     */
    public TableReadController(
            CoreSettings settings,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        this.random = new Random(settings.seed());
        Chart<TableReadEvent, TableReadData, TableReadInput> chart = ChartReader.bundled("reading", VOCABULARY);
        this.tableRead = new ChartInstances<>(chart, event -> TableReadInput.NONE, listener);
    }

    /**
     * Reads the tables if that is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (!started) {
            started = true;
            tableRead.begin(settings.self(), new TableReadData(this, TableName.values()[0], false, 0), now);
            fire(TableReadEvent.START, now, effects);
        }
        tableRead.advance(now, effects);
    }

    /**
     * Handles the first write of this node's row: all tables are read again. Later calls have no effect.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onJoined(long now, Effects effects) {
        if (!joined) {
            joined = true;
            fire(TableReadEvent.JOINED, now, effects);
        }
    }

    /**
     * Returns when this controller has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return tableRead.nextDue();
    }

    void readTable(TableName table, long now, Effects effects) {
        store.submitOnce(new StoreRequest.ScanTable(table), now, effects, this::onScanReply);
    }

    private void onScanReply(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> sink.onRowRead(row, now, effects));
            fire(TableReadEvent.TABLE_READ, now, effects);
        } else {
            fire(TableReadEvent.FAILED, now, effects);
        }
    }

    /** Sends a digest to the seeds if this node knows no other member that it could send one to. */
    void askSeeds(Effects effects) {
        boolean alone = directory.liveMembers().stream().allMatch(settings.self()::equals);
        if (!alone) {
            return;
        }
        PeerMessage digest = new PeerMessage.DigestOffer(directory.digest().buckets());
        for (Address seed : settings.seeds()) {
            if (!seed.equals(settings.peer())) {
                effects.emit(new Effect.SendToSeed(seed, digest));
            }
        }
    }

    /** Returns the delay before a failed read is repeated: exponential backoff with jitter. */
    long retryDelayNanos(int failures) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return jittered(FIRST_RETRY_DELAY_MILLIS << doublings);
    }

    /** Returns the delay before the next pass: in proportion to the number of members, with a minimum and jitter. */
    long rereadDelayNanos() {
        int members = directory.liveMembers().size();
        return jittered(Math.max(MIN_REREAD_DELAY_MILLIS, members * REREAD_DELAY_MILLIS_PER_MEMBER));
    }

    private long jittered(long millis) {
        return (long) (Timing.millisToNanos(millis) * (MIN_JITTER_FACTOR + random.nextDouble()));
    }

    private void fire(TableReadEvent event, long now, Effects effects) {
        tableRead.fire(settings.self(), event, TableReadInput.NONE, now, effects);
    }
}
