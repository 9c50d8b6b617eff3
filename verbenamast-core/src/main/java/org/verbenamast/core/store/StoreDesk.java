package org.verbenamast.core.store;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;

/** The calls to the table service that await an answer. */
public final class StoreDesk {

    /** The names that the chart file may use. */
    public static final Vocabulary<StoreEvent, StoreGuard, StoreAction, StoreTimer, NoTag> VOCABULARY =
            new Vocabulary<>(StoreEvent.class, StoreGuard.class, StoreAction.class, StoreTimer.class, NoTag.class);

    private final Population<Long, StoreEvent, StoreCall, StoreReply> calls;
    private final long timeoutNanos;
    private long lastNumber;

    /**
     * Makes a desk without calls.
     *
     * @param timeoutNanos how long to wait for an answer, in nanoseconds
     * @param listener is told of each transition
     */
    public StoreDesk(long timeoutNanos, TransitionListener listener) {
        Chart<StoreEvent, StoreCall, StoreReply> chart = ChartReader.bundled("store-call", VOCABULARY);
        this.calls = new Population<>(chart, event -> new StoreReply.Failed(StoreFailure.NO_ANSWER), listener);
        this.timeoutNanos = timeoutNanos;
    }

    /**
     * Sends a request.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @param continuation what is done with the answer; called exactly once
     */
    public void submit(StoreRequest request, long now, Effects effects, StoreContinuation continuation) {
        long number = ++lastNumber;
        calls.begin(number, new StoreCall(number, request, timeoutNanos, continuation), now);
        calls.fire(number, StoreEvent.START, new StoreReply.Failed(StoreFailure.NO_ANSWER), now, effects);
    }

    /**
     * Takes an answer.
     *
     * @param call the number of the call
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void replied(long call, StoreReply reply, long now, Effects effects) {
        calls.fire(call, StoreEvent.REPLIED, reply, now, effects);
    }

    /**
     * Ends the calls whose time is up.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        calls.advance(now, effects);
    }

    /**
     * Returns when a call's time is up next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return calls.nextDue();
    }
}
