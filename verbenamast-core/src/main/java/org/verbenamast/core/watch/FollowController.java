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

/** The tables that this node follows. */
public final class FollowController {

    /** The names that the chart file may use. */
    public static final Vocabulary<FollowEvent, FollowGuard, FollowAction, FollowTimer, NoTag> VOCABULARY =
            new Vocabulary<>(FollowEvent.class, FollowGuard.class, FollowAction.class, FollowTimer.class, NoTag.class);

    private final ChartInstances<FollowedTable, FollowEvent, FollowData, FollowInput> tables;

    /**
     * Makes the desk of a node that follows nothing yet.
     *
     * @param random draws numbers evenly from 0 (included) to 1 (excluded)
     * @param listener is told of each transition
     */
    public FollowController(DoubleSupplier random, TransitionListener listener) {
        Objects.requireNonNull(random, "random");
        this.tables =
                new ChartInstances<>(ChartReader.bundled("follow", VOCABULARY), event -> FollowInput.NONE, listener);
        for (FollowedTable table : FollowedTable.values()) {
            tables.begin(table, FollowData.of(table, random), 0);
        }
    }

    /**
     * Begins to follow all tables.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void start(long now, Effects effects) {
        for (FollowedTable table : FollowedTable.values()) {
            tables.fire(table, FollowEvent.START, FollowInput.NONE, now, effects);
        }
    }

    /**
     * Takes what became of a call.
     *
     * @param table the table
     * @param ticket the call's number
     * @param event what became of it
     * @param input the version and whether rows came
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void ended(
            FollowedTable table, long ticket, FollowEvent event, FollowInput input, long now, Effects effects) {
        if (tables.find(table).data().ticket() == ticket) {
            tables.fire(table, event, input, now, effects);
        }
    }

    /**
     * Notes that rows of a table came in another way than by following it.
     *
     * @param table the table
     * @param latest the version of the newest of them
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void saw(FollowedTable table, long latest, long now, Effects effects) {
        tables.fire(table, FollowEvent.SAW, FollowInput.row(latest), now, effects);
    }

    /**
     * Tells what this node knows.
     *
     * @param now the monotonic time, in nanoseconds
     * @return the news for other nodes
     */
    public StoreVersions news(long now) {
        FollowData operators = tables.find(FollowedTable.OPERATORS).data();
        long age = (now - operators.answeredAt()) / Timing.NANOS_PER_MILLI;
        return operators.answeredAt() == 0
                ? StoreVersions.NONE
                : new StoreVersions(
                        operators.latest(),
                        age,
                        tables.find(FollowedTable.SHARED).data().latest());
    }

    /**
     * Takes what another node knows.
     *
     * @param news the news
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void told(StoreVersions news, long now, Effects effects) {
        told(FollowedTable.SHARED, news.sharedVersion(), now, effects);
        told(FollowedTable.OPERATORS, news.operatorsVersion(), now, effects);
        if (proves(news, now)) {
            FollowInput proof = FollowInput.proof(provenAt(news, now));
            tables.fire(FollowedTable.OPERATORS, FollowEvent.PROVEN, proof, now, effects);
        }
    }

    private void told(FollowedTable table, long latest, long now, Effects effects) {
        if (!knows(table, latest)) {
            tables.fire(table, FollowEvent.BEHIND, FollowInput.row(latest), now, effects);
        }
    }

    /**
     * Tells whether another node's news change anything here; most requests and answers bring none that do.
     *
     * @param news the news
     * @param now the monotonic time, in nanoseconds
     * @return whether {@link #told} is to be called
     */
    public boolean isNews(StoreVersions news, long now) {
        return !knows(FollowedTable.SHARED, news.sharedVersion())
                || !knows(FollowedTable.OPERATORS, news.operatorsVersion())
                || proves(news, now);
    }

    private boolean knows(FollowedTable table, long latest) {
        return tables.find(table).data().knows(latest);
    }

    /** Tells whether a node that knows as much as this one has heard from the store later than is known here. */
    private boolean proves(StoreVersions news, long now) {
        FollowData operators = tables.find(FollowedTable.OPERATORS).data();
        long version = news.operatorsVersion();
        return version > 0
                && version >= operators.latest()
                && operators.knows(version)
                && provenAt(news, now) > operators.provenAt();
    }

    private static long provenAt(StoreVersions news, long now) {
        return now - Timing.millisToNanos(news.operatorsAgeMillis());
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        tables.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return tables.nextDue();
    }
}
