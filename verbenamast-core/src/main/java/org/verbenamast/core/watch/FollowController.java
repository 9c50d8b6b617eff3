package org.verbenamast.core.watch;

import java.util.Objects;
import java.util.function.DoubleSupplier;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.rows.StoreVersion;

/**
 * Follows the tables of the store that every node has to know. It decides which answers count: whichever call an answer
 * belongs to, its rows are to be applied if and only if it is recorded here.
 */
public final class FollowController {

    /** Time within which the store answers a call if it has a change, in nanoseconds. */
    private static final long ANSWER_NANOS = Timing.millisToNanos(500);

    /** Time without a run of this controller after which the process may have been suspended, in nanoseconds. */
    private static final long MAX_PAUSE_NANOS = Timing.millisToNanos(500);

    /** The names that the chart file can refer to. */
    public static final Vocabulary<FollowEvent, FollowGuard, FollowAction, FollowTimer, NoTag> VOCABULARY =
            new Vocabulary<>(FollowEvent.class, FollowGuard.class, FollowAction.class, FollowTimer.class, NoTag.class);

    private final ChartInstances<FollowedTable, FollowEvent, FollowData, FollowInput> tables;
    private final EraController eras;
    /** The monotonic time since which no run was longer ago than the maximum pause, in nanoseconds. */
    private long runningSince;

    private long lastRunAt;

    /**
     * Creates a controller that follows no table until {@link #start}.
     *
     * @param random returns uniformly distributed numbers from 0 (inclusive) to 1 (exclusive)
     * @param listener notified of each transition
     */
    public FollowController(DoubleSupplier random, TransitionListener listener) {
        Objects.requireNonNull(random, "random");
        this.eras = new EraController(listener);
        this.tables =
                new ChartInstances<>(ChartReader.bundled("follow", VOCABULARY), event -> FollowInput.NONE, listener);
        for (FollowedTable table : FollowedTable.values()) {
            tables.begin(table, FollowData.initial(table, random), 0);
        }
    }

    /**
     * Starts to follow all tables.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void start(long now, Effects effects) {
        for (FollowedTable table : FollowedTable.values()) {
            tables.fire(table, FollowEvent.START, FollowInput.NONE, now, effects);
        }
    }

    /**
     * Handles the first bytes of an answer, of which more are to come. Until it ends, no other call is pending.
     *
     * @param table the table
     * @param callId the number of the call
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnswerArriving(FollowedTable table, long callId, long now, Effects effects) {
        if (calls(table).isPending(callId)) {
            tables.fire(table, FollowEvent.ARRIVING, FollowInput.NONE.withCallId(callId), now, effects);
        }
    }

    /**
     * Handles the end of a call to the store. Ignores a call that has been cancelled.
     *
     * @param table the table
     * @param callId the number of the call
     * @param event the outcome of the call
     * @param input the store's version and whether the answer contained rows
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return whether the call was answered with a version that is no older than the one held, so that its rows are to
     *     be applied
     */
    public boolean onCallEnded(
            FollowedTable table, long callId, FollowEvent event, FollowInput input, long now, Effects effects) {
        if (!calls(table).isPending(callId)) {
            return false;
        }
        boolean isNewEra = event.isAnswer() && eraOf(input.version()) > eras.era();
        if (isNewEra) {
            onEra(eraOf(input.version()), now, effects);
        }
        boolean accepted = event.isAnswer() && accepts(table, event, input);
        FollowEvent outcome = event.isAnswer() && !accepted ? FollowEvent.FAILED : event;
        if (calls(table).isPending(callId)) {
            tables.fire(table, outcome, input.withCallId(callId), now, effects);
        }
        if (accepted && event == FollowEvent.READ) {
            eras.onTableRead(table, input.version(), now, effects);
        }
        return accepted;
    }

    /** Returns whether the rows of an answer are to be applied: changes count only beside a copy of the same era. */
    private boolean accepts(FollowedTable table, FollowEvent event, FollowInput answer) {
        TableCopy copy = tables.find(table).data().copy();
        long era = eraOf(answer.version());
        boolean fits = event == FollowEvent.READ || era == eraOf(copy.version());
        return fits && era == eras.era() && copy.accepts(answer);
    }

    private static long eraOf(long version) {
        return StoreVersion.ofPacked(version).era();
    }

    /**
     * Handles the era that an answer of the store or another node tells. In a new one all tables are read again.
     *
     * @param era the era
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onEra(long era, long now, Effects effects) {
        if (eras.onEra(era, now, effects)) {
            for (FollowedTable table : FollowedTable.values()) {
                tables.fire(table, FollowEvent.NEW_ERA, FollowInput.NONE, now, effects);
            }
        }
    }

    /**
     * Returns what this node knows of the store's era.
     *
     * @return the era
     */
    public StoreEras eras() {
        return eras;
    }

    /**
     * Handles the end of a call to the store. Ignores a call that has been cancelled.
     *
     * @param result the end of the call
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return whether the rows of the answer are to be applied
     */
    public boolean onCallEnded(FollowResult result, long now, Effects effects) {
        return onCallEnded(result.table(), result.callId(), result.event(), result.input(), now, effects);
    }

    private FollowCalls calls(FollowedTable table) {
        return tables.find(table).data().calls();
    }

    /**
     * Returns how much of a table this node holds.
     *
     * @param table the table
     * @return the store's version up to which it holds all changes; 0 before the first read
     */
    public long version(FollowedTable table) {
        return tables.find(table).data().copy().version();
    }

    /**
     * Records that this node received rows of a table other than by following it, such as from another node.
     *
     * @param table the table
     * @param latest the version of the newest of these rows
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onRowsReceived(FollowedTable table, long latest, long now, Effects effects) {
        tables.fire(table, FollowEvent.SAW, FollowInput.ofRow(latest), now, effects);
    }

    /**
     * Returns how current this node's tables are.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the versions to send to other nodes; {@link StoreVersions#NONE} before the store has answered
     */
    public StoreVersions versions(long now) {
        TableCopy operators = tables.find(FollowedTable.OPERATORS).data().copy();
        long age = (now - operators.asOf()) / Timing.NANOS_PER_MILLI;
        return operators.isRead()
                ? new StoreVersions(
                        operators.latest(),
                        age,
                        tables.find(FollowedTable.SHARED).data().copy().latest())
                : StoreVersions.NONE;
    }

    /**
     * Returns as of when this node knows all members.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the time of the store's last answer, or of a call that has waited for a change since; 0 before the first
     *     answer; in nanoseconds of the monotonic clock
     */
    public long membersAsOf(long now) {
        TableCopy members = tables.find(FollowedTable.SHARED).data().copy();
        return calls(FollowedTable.SHARED)
                .waiting()
                .filter(call -> members.isRead() && calls(FollowedTable.SHARED).failures() == 0)
                .filter(call -> now - Math.max(call.sentAt(), runningSince) >= ANSWER_NANOS)
                .filter(call -> now - lastRunAt < MAX_PAUSE_NANOS)
                .map(call -> Math.max(call.sentAt(), members.asOf()))
                .orElse(members.asOf());
    }

    /**
     * Handles the versions that another node knew when it wrote a message. The node asks the store for what it lacks.
     *
     * @param versions the versions that the other node sent
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onVersions(StoreVersions versions, long now, Effects effects) {
        onEra(Math.max(eraOf(versions.sharedVersion()), eraOf(versions.operatorsVersion())), now, effects);
        checkBehind(FollowedTable.SHARED, versions.sharedVersion(), now, effects);
        checkBehind(FollowedTable.OPERATORS, versions.operatorsVersion(), now, effects);
    }

    /**
     * Handles the versions in an answer of another node. Beyond {@link #onVersions}, the node relies on the other
     * node's answer from the store where that answer shows that nothing newer was there. It was written after this node
     * asked; how long it was on its way is not known.
     *
     * @param versions the versions that the other node sent
     * @param askedAt the monotonic time when this node asked the other one, in nanoseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAnsweredVersions(StoreVersions versions, long askedAt, long now, Effects effects) {
        onVersions(versions, now, effects);
        if (provesCurrent(versions, askedAt)) {
            FollowInput proof = FollowInput.ofProof(provenAt(versions, askedAt));
            tables.fire(FollowedTable.OPERATORS, FollowEvent.PROVEN, proof, now, effects);
        }
    }

    private void checkBehind(FollowedTable table, long latest, long now, Effects effects) {
        if (!knows(table, latest)) {
            tables.fire(table, FollowEvent.BEHIND, FollowInput.ofRow(latest), now, effects);
        }
    }

    /**
     * Returns whether the versions that another node knows are newer than those known here. Those in most requests are
     * not.
     *
     * @param versions the versions that the other node sent
     * @return whether {@link #onVersions} has to be called
     */
    public boolean isNews(StoreVersions versions) {
        return !knows(FollowedTable.SHARED, versions.sharedVersion())
                || !knows(FollowedTable.OPERATORS, versions.operatorsVersion());
    }

    /**
     * Returns whether the versions in another node's answer change anything here. Those in most answers do not.
     *
     * @param versions the versions that the other node sent
     * @param askedAt the monotonic time when this node asked the other one, in nanoseconds
     * @return whether {@link #onAnsweredVersions} has to be called
     */
    public boolean isRelevant(StoreVersions versions, long askedAt) {
        return isNews(versions) || provesCurrent(versions, askedAt);
    }

    private boolean knows(FollowedTable table, long latest) {
        return tables.find(table).data().copy().holds(latest);
    }

    /**
     * Returns whether the store answered a node that knows at least as new a row of the operators' table later than any
     * answer known here.
     */
    private boolean provesCurrent(StoreVersions versions, long askedAt) {
        FollowData operators = tables.find(FollowedTable.OPERATORS).data();
        long version = versions.operatorsVersion();
        return version > 0
                && version >= operators.copy().latest()
                && operators.copy().holds(version)
                && provenAt(versions, askedAt) > operators.provenAt();
    }

    private static long provenAt(StoreVersions versions, long askedAt) {
        return askedAt - Timing.millisToNanos(versions.operatorsAgeMillis());
    }

    /**
     * Fires all timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        if (now - lastRunAt >= MAX_PAUSE_NANOS) {
            runningSince = now;
        }
        lastRunAt = now;
        eras.advance(now, effects);
        tables.advance(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return Math.min(tables.nextDue(), eras.nextDue());
    }
}
