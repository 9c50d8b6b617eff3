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

/** Controls this node's own membership: writes its row when the node joins, changes its status, stops or ends. */
public final class MemberController {

    /** The names that the chart file may use. */
    public static final Vocabulary<MemberEvent, MemberGuard, MemberAction, MemberTimer, MemberTag> VOCABULARY =
            new Vocabulary<>(
                    MemberEvent.class, MemberGuard.class, MemberAction.class, MemberTimer.class, MemberTag.class);

    private static final long RETRY_DELAY_MILLIS = 500;

    private final CoreSettings settings;
    private final Directory directory;
    private final StoreController store;
    private final RowListener sink;
    private final ChartInstances<MemberId, MemberEvent, MemberData, MemberInput> membership;
    private final RowKey rowKey;
    private long operationCount;
    private boolean serverWithdrawn;

    /**
     * Creates the controller of a node whose backend server has not sent an announcement.
     *
     * @param settings the node's settings
     * @param directory the rows that the node knows
     * @param store the calls to the table service
     * @param sink receives the rows that this controller writes or reads
     * @param listener notified of each transition
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
        this.membership = new ChartInstances<>(chart, event -> MemberInput.NONE, listener);
        this.rowKey = MemberRow.keyOf(settings.self());
        membership.begin(settings.self(), new MemberData(null, this), 0);
    }

    /**
     * Returns whether the current state of the membership has a tag.
     *
     * @param tag the tag
     * @return whether the state has the tag; false once the membership has ended
     */
    public boolean is(MemberTag tag) {
        Instance<MemberData> instance = membership.find(settings.self());
        return instance != null && instance.hasTag(tag);
    }

    /**
     * Returns the last announcement of the backend server.
     *
     * @return the announcement, or null if there was none or the membership has ended
     */
    public ServerAnnouncement lastAnnouncement() {
        Instance<MemberData> instance = membership.find(settings.self());
        return instance == null ? null : instance.data().announcement();
    }

    /**
     * Handles an announcement of the backend server.
     *
     * @param announcement the announcement
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnnouncement(ServerAnnouncement announcement, long now, Effects effects) {
        membership.fire(settings.self(), MemberEvent.ANNOUNCED, new MemberInput(announcement), now, effects);
    }

    /**
     * Records whether the backend server accepts work. If the current state ignores a change, the next call offers it
     * again.
     *
     * @param withdrawn whether the backend server is gone or asked for no new work
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void setServerWithdrawn(boolean withdrawn, long now, Effects effects) {
        if (withdrawn != serverWithdrawn) {
            boolean accepted = fire(withdrawn ? MemberEvent.SERVER_WITHDRAWN : MemberEvent.SERVER_BACK, now, effects);
            serverWithdrawn = accepted ? withdrawn : serverWithdrawn;
        }
    }

    /**
     * Starts a graceful stop.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void stop(long now, Effects effects) {
        fire(MemberEvent.STOP, now, effects);
    }

    /**
     * Handles the end of the last work: this node owns no slice and runs no request any more.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onEmptied(long now, Effects effects) {
        fire(MemberEvent.EMPTIED, now, effects);
    }

    /**
     * Handles a row that the directory has applied. The row may say that others have ended this incarnation.
     *
     * @param row the row
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRow(Row row, long now, Effects effects) {
        if (row.key().equals(rowKey) && ((MemberRow) row.value()).status().hasEnded()) {
            fire(MemberEvent.ENDED_BY_OTHERS, now, effects);
        }
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        membership.advance(now, effects);
    }

    /**
     * Returns when this controller has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return membership.nextDue();
    }

    long retryDelayNanos() {
        return Timing.millisToNanos(RETRY_DELAY_MILLIS);
    }

    void writeRow(ServerAnnouncement announcement, MemberStatus status, long now, Effects effects) {
        MemberRow known = directory.member(settings.self());
        MemberRow row = new MemberRow(
                settings.self(),
                settings.service(),
                settings.zone(),
                settings.peer(),
                status,
                known == null ? List.of() : known.leasePeers(),
                announcement.start(),
                announcement.slots(),
                settings.self() + "/member/" + ++operationCount);
        RowWrite write = new RowWrite(rowKey, directory.version(rowKey), row);
        store.submit(new StoreRequest.Commit(List.of(write)), now, effects, this::onCommitReply);
    }

    private void onCommitReply(StoreReply reply, long now, Effects effects) {
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
        return membership.fire(settings.self(), event, MemberInput.NONE, now, effects);
    }
}
