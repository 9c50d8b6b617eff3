package org.verbenamast.core.membership;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.node.RowListener;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.store.RowWrite;
import org.verbenamast.core.store.StoreController;
import org.verbenamast.core.store.StoreReply;
import org.verbenamast.core.store.StoreRequest;

/** This node's own membership: its row in the table service, and what the row lets it do. */
public final class MemberController {

    /** The names that the chart file may use. */
    public static final Vocabulary<MemberEvent, MemberGuard, MemberAction, MemberTimer, MemberTag> VOCABULARY =
            new Vocabulary<>(
                    MemberEvent.class, MemberGuard.class, MemberAction.class, MemberTimer.class, MemberTag.class);

    private static final long RETRY_MILLIS = 500;

    private final CoreSettings settings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final ChartInstances<MemberId, MemberEvent, MemberData, MemberInput> self;
    private final RowKey key;
    private long operations;
    private boolean serverWithdrawn;

    /**
     * Makes the desk of a node whose backend server has not announced itself.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink takes the rows that this desk writes or learns
     * @param listener is told of each transition
     */
    public MemberController(
            CoreSettings settings,
            Directory directory,
            StoreController store,
            RowListener sink,
            TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.store = Objects.requireNonNull(store, "store");
        this.sink = Objects.requireNonNull(sink, "sink");
        Chart<MemberEvent, MemberData, MemberInput> chart = ChartReader.bundled("member", VOCABULARY);
        this.self = new ChartInstances<>(chart, event -> MemberInput.NONE, listener);
        this.key = MemberRow.keyOf(settings.self());
        self.begin(settings.self(), new MemberData(null, this), 0);
    }

    /**
     * Tells whether the state of the membership carries a tag.
     *
     * @param tag the tag
     * @return whether it does
     */
    public boolean is(MemberTag tag) {
        Instance<MemberData> instance = self.find(settings.self());
        return instance != null && instance.is(tag);
    }

    /**
     * Returns what the backend server announced last.
     *
     * @return the announcement, or null where there was none or the membership is over
     */
    public ServerAnnouncement server() {
        Instance<MemberData> instance = self.find(settings.self());
        return instance == null ? null : instance.data().announcement();
    }

    /**
     * Takes an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void announced(ServerAnnouncement announcement, long now, Effects effects) {
        self.fire(settings.self(), MemberEvent.ANNOUNCED, new MemberInput(announcement), now, effects);
    }

    /**
     * Notes whether the backend server takes work.
     *
     * @param withdrawn whether it is gone or wants no new work
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void serverWithdrawn(boolean withdrawn, long now, Effects effects) {
        if (withdrawn != serverWithdrawn) {
            boolean taken = fire(withdrawn ? MemberEvent.SERVER_WITHDRAWN : MemberEvent.SERVER_BACK, now, effects);
            serverWithdrawn = taken ? withdrawn : serverWithdrawn;
        }
    }

    /**
     * Begins a graceful stop.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void stop(long now, Effects effects) {
        fire(MemberEvent.STOP, now, effects);
    }

    /**
     * Notes that this node owns and runs nothing any more.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void emptied(long now, Effects effects) {
        fire(MemberEvent.EMPTIED, now, effects);
    }

    /**
     * Takes a row that the directory has learnt.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void learnt(Row row, long now, Effects effects) {
        if (row.key().equals(key) && ((MemberRow) row.value()).status().over()) {
            fire(MemberEvent.ENDED_BY_OTHERS, now, effects);
        }
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        self.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return self.nextDue();
    }

    long retryNanos() {
        return Timing.millisToNanos(RETRY_MILLIS);
    }

    void write(ServerAnnouncement server, MemberStatus status, long now, Effects effects) {
        MemberRow known = directory.member(settings.self());
        MemberRow row = new MemberRow(
                settings.self(),
                settings.service(),
                settings.zone(),
                settings.peer(),
                status,
                known == null ? List.of() : known.leasePeers(),
                server.start(),
                server.slots(),
                settings.self() + "/member/" + ++operations);
        RowWrite write = new RowWrite(key, directory.version(key), row);
        store.submit(new StoreRequest.Commit(List.of(write)), now, effects, this::written);
    }

    private void written(StoreReply reply, long now, Effects effects) {
        if (reply instanceof StoreReply.Committed committed) {
            fire(MemberEvent.WRITTEN, now, effects);
            committed.rows().forEach(row -> sink.onRowWritten(row, now, effects));
            return;
        }
        if (reply instanceof StoreReply.Conflicted conflicted) {
            conflicted.rows().forEach(row -> sink.onRowRead(row, now, effects));
        }
        fire(MemberEvent.NOT_WRITTEN, now, effects);
    }

    private boolean fire(MemberEvent event, long now, Effects effects) {
        return self.fire(settings.self(), event, MemberInput.NONE, now, effects);
    }
}
