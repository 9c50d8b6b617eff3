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
 * Reads the tables: at the start, and then so rarely that the whole fleet together reads them every few seconds,
 * however many nodes it has.
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

    private static final long FIRST_RETRY_MILLIS = 500;
    private static final int MAX_DOUBLINGS = 4;
    private static final long REREAD_MILLIS_PER_MEMBER = 4_000;
    private static final long MIN_REREAD_MILLIS = 30_000;
    private static final double MIN_JITTER = 0.5;

    private final CoreSettings settings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final Random random;
    private final ChartInstances<MemberId, TableReadEvent, TableReadData, TableReadInput> reading;
    private boolean started;
    private boolean joined;

    /**
     * Makes a desk that has read nothing.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink takes the rows that this desk reads
     * @param listener is told of each transition
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
        this.reading = new ChartInstances<>(chart, event -> TableReadInput.NONE, listener);
    }

    /**
     * Reads the tables where that is due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        if (!started) {
            started = true;
            reading.begin(settings.self(), new TableReadData(this, TableName.values()[0], false, 0), now);
            fire(TableReadEvent.START, now, effects);
        }
        reading.advance(now, effects);
    }

    /**
     * Notes that this node's row was written. Only the first time counts.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void joined(long now, Effects effects) {
        if (!joined) {
            joined = true;
            fire(TableReadEvent.JOINED, now, effects);
        }
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return reading.nextDue();
    }

    void readTable(TableName table, long now, Effects effects) {
        store.submitOnce(new StoreRequest.ScanTable(table), now, effects, this::answered);
    }

    private void answered(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.RowsRead read) {
            read.rows().forEach(row -> sink.onRowRead(row, now, effects));
            fire(TableReadEvent.TABLE_READ, now, effects);
        } else {
            fire(TableReadEvent.FAILED, now, effects);
        }
    }

    /** Sends the seeds a digest where this node has nobody else to send it to. */
    void askSeeds(Effects effects) {
        boolean alone = directory.living().stream().allMatch(settings.self()::equals);
        if (!alone) {
            return;
        }
        PeerMessage offer = new PeerMessage.DigestOffer(directory.digest().buckets());
        for (Address seed : settings.seeds()) {
            if (!seed.equals(settings.peer())) {
                effects.emit(new Effect.SendToSeed(seed, offer));
            }
        }
    }

    long retryNanos(int failures) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return jittered(FIRST_RETRY_MILLIS << doublings);
    }

    long rereadNanos() {
        int members = directory.living().size();
        return jittered(Math.max(MIN_REREAD_MILLIS, members * REREAD_MILLIS_PER_MEMBER));
    }

    private long jittered(long millis) {
        return (long) (Timing.millisToNanos(millis) * (MIN_JITTER + random.nextDouble()));
    }

    private void fire(TableReadEvent event, long now, Effects effects) {
        reading.fire(settings.self(), event, TableReadInput.NONE, now, effects);
    }
}
