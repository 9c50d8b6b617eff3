package org.verbenamast.core.rows;

import java.util.List;
import java.util.Objects;
import java.util.function.LongFunction;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;

/** Keeps some rows of the store as they should be: whenever it is free it asks what is to be changed. */
public final class RowWriter {

    /** The names that the chart file may use. */
    public static final Vocabulary<RowWriterEvent, RowWriterGuard, RowWriterAction, RowWriterTimer, RowWriterTag>
            VOCABULARY = new Vocabulary<>(
                    RowWriterEvent.class,
                    RowWriterGuard.class,
                    RowWriterAction.class,
                    RowWriterTimer.class,
                    RowWriterTag.class);

    private final StorePurpose purpose;
    private final LongFunction<List<RowChange>> wanted;
    private final ChartInstances<StorePurpose, RowWriterEvent, RowWriterData, RowWriterInput> writer;

    /**
     * Makes a writer without a call under way.
     *
     * @param purpose whose rows are written
     * @param replica the rows that the node knows; it is told of what was written or read back
     * @param wanted tells at a time what is to be changed, given the replica; empty where all is well
     * @param listener is told of each transition
     */
    public RowWriter(
            StorePurpose purpose,
            RowReplica replica,
            LongFunction<List<RowChange>> wanted,
            TransitionListener listener) {
        this.purpose = Objects.requireNonNull(purpose, "purpose");
        this.wanted = Objects.requireNonNull(wanted, "wanted");
        this.writer = new ChartInstances<>(
                ChartReader.bundled("row-writer", VOCABULARY), event -> RowWriterInput.NONE, listener);
        writer.begin(purpose, new RowWriterData(purpose, 0, List.of(), replica), 0);
    }

    /**
     * Looks whether a change is wanted and, where no call is under way, writes it.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void review(long now, Effects effects) {
        if (!writer.find(purpose).hasTag(RowWriterTag.FREE)) {
            return;
        }
        writer.fire(purpose, RowWriterEvent.REVIEW, new RowWriterInput(wanted.apply(now), 0, List.of()), now, effects);
    }

    /**
     * Takes the result of a call to the store.
     *
     * @param ticket the call's number
     * @param result the result
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void stored(long ticket, StoreResult result, long now, Effects effects) {
        if (ticket != writer.find(purpose).data().ticket()) {
            return;
        }
        if (result instanceof StoreResult.Committed committed) {
            fire(RowWriterEvent.COMMITTED, new RowWriterInput(List.of(), committed.version(), List.of()), now, effects);
        } else if (result instanceof StoreResult.Conflicted conflicted) {
            fire(RowWriterEvent.CONFLICTED, new RowWriterInput(List.of(), 0, conflicted.rows()), now, effects);
        } else if (result instanceof StoreResult.Read read) {
            fire(RowWriterEvent.READ, new RowWriterInput(List.of(), 0, read.rows()), now, effects);
        } else if (result instanceof StoreResult.Failed failed) {
            boolean unclear = failed.failure().effectUnknown();
            fire(unclear ? RowWriterEvent.UNCLEAR : RowWriterEvent.REFUSED, RowWriterInput.NONE, now, effects);
        }
        review(now, effects);
    }

    private void fire(RowWriterEvent event, RowWriterInput input, long now, Effects effects) {
        writer.fire(purpose, event, input, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        writer.advance(now, effects);
    }

    /**
     * Returns when this writer has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return writer.nextDue();
    }
}
