package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;
import java.util.function.LongFunction;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;

/**
 * Keeps some rows of the store up to date, with one transaction at a time. Whenever no call is pending it determines
 * the changes that are needed.
 */
public final class RowWriter {

    /** The names that the chart file can refer to. */
    public static final Vocabulary<RowWriterEvent, RowWriterGuard, RowWriterAction, RowWriterTimer, RowWriterTag>
            VOCABULARY = new Vocabulary<>(
                    RowWriterEvent.class,
                    RowWriterGuard.class,
                    RowWriterAction.class,
                    RowWriterTimer.class,
                    RowWriterTag.class);

    private final StorePurpose purpose;
    private final LongFunction<List<RowChange>> wantedChanges;
    private final ChartInstances<StorePurpose, RowWriterEvent, RowWriterData, RowWriterInput> writer;

    /**
     * Creates a writer without a pending call.
     *
     * @param purpose the part of the node whose rows are written
     * @param replica the rows that the node knows; rows that were written or read back are applied to it
     * @param wantedChanges returns the changes that the rows in the replica need at a monotonic time; empty where they
     *     need none
     * @param listener notified of each transition
     */
    public RowWriter(
            StorePurpose purpose,
            RowReplica replica,
            LongFunction<List<RowChange>> wantedChanges,
            TransitionListener listener) {
        this.purpose = Objects.requireNonNull(purpose, "purpose");
        this.wantedChanges = Objects.requireNonNull(wantedChanges, "wantedChanges");
        this.writer = new ChartInstances<>(
                ChartReader.bundled("row-writer", VOCABULARY), event -> RowWriterInput.NONE, listener);
        writer.begin(purpose, new RowWriterData(purpose, 0, List.of(), replica), 0);
    }

    /**
     * Writes the changes that are needed, unless a call is pending.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void review(long now, Effects effects) {
        if (!writer.find(purpose).hasTag(RowWriterTag.FREE)) {
            return;
        }
        writer.fire(
                purpose,
                RowWriterEvent.REVIEW,
                new RowWriterInput(wantedChanges.apply(now), 0, List.of()),
                now,
                effects);
    }

    /**
     * Handles the result of a call to the store. Ignores it unless it is that of the last call.
     *
     * @param callId the number of the call
     * @param result the result
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onStoreResult(long callId, StoreResult result, long now, Effects effects) {
        if (callId != writer.find(purpose).data().callId()) {
            return;
        }
        if (result instanceof StoreResult.Committed committed) {
            fire(RowWriterEvent.COMMITTED, new RowWriterInput(List.of(), committed.version(), List.of()), now, effects);
        } else if (result instanceof StoreResult.Conflicted conflicted) {
            fire(RowWriterEvent.CONFLICTED, new RowWriterInput(List.of(), 0, conflicted.rows()), now, effects);
        } else if (result instanceof StoreResult.Read read) {
            fire(RowWriterEvent.READ, new RowWriterInput(List.of(), 0, read.rows()), now, effects);
        } else if (result instanceof StoreResult.Failed failed) {
            boolean effectUnknown = failed.failure().effectUnknown();
            fire(effectUnknown ? RowWriterEvent.UNCLEAR : RowWriterEvent.REFUSED, RowWriterInput.NONE, now, effects);
        }
        review(now, effects);
    }

    private void fire(RowWriterEvent event, RowWriterInput input, long now, Effects effects) {
        writer.fire(purpose, event, input, now, effects);
    }

    /**
     * Fires all timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        writer.advance(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return writer.nextDue();
    }
}
