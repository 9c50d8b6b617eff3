package org.verbenamast.core.store;

import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;

/** The calls to the table service that await an answer, with their retries. */
public final class StoreController {

    /** The names that the chart file may use. */
    public static final Vocabulary<StoreEvent, StoreGuard, StoreAction, StoreTimer, NoTag> VOCABULARY =
            new Vocabulary<>(StoreEvent.class, StoreGuard.class, StoreAction.class, StoreTimer.class, NoTag.class);

    private final ChartInstances<Long, StoreEvent, StoreCall, StoreReply> calls;
    private final StoreRetryPolicy retryPolicy;
    private long lastCallId;

    /**
     * Makes a desk without calls.
     *
     * @param retries decides on further attempts
     * @param listener is told of each transition
     */
    public StoreController(StoreRetryPolicy retries, TransitionListener listener) {
        Chart<StoreEvent, StoreCall, StoreReply> chart = ChartReader.bundled("store-call", VOCABULARY);
        this.calls = new ChartInstances<>(chart, event -> new StoreReply.Failed(StoreFailure.NO_ANSWER), listener);
        this.retryPolicy = Objects.requireNonNull(retries, "retries");
    }

    /**
     * Sends a request, and again where there is no usable answer.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @param continuation what is done with the answer; called exactly once
     */
    public void submit(StoreRequest request, long now, Effects effects, StoreContinuation continuation) {
        begin(request, StoreRetryPolicy.LAST_ATTEMPT, now, effects, continuation);
    }

    /**
     * Sends a request once, for whoever has something better to do than to wait for another attempt.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @param continuation what is done with the answer; called exactly once
     */
    public void submitOnce(StoreRequest request, long now, Effects effects, StoreContinuation continuation) {
        begin(request, 0, now, effects, continuation);
    }

    private void begin(
            StoreRequest request, int lastAttempt, long now, Effects effects, StoreContinuation continuation) {
        long key = ++lastCallId;
        retryPolicy.countCall();
        calls.begin(key, StoreCall.first(key, request, lastAttempt, retryPolicy, continuation), now);
        calls.fire(key, StoreEvent.START, new StoreReply.Failed(StoreFailure.NO_ANSWER), now, effects);
    }

    /**
     * Takes an answer. Answers to earlier attempts than the present one are ignored.
     *
     * @param number the number of the attempt
     * @param reply the answer
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void onReply(long number, StoreReply reply, long now, Effects effects) {
        long key = StoreCall.callIdOf(number);
        Instance<StoreCall> call = calls.find(key);
        if (call != null && call.data().attemptId() == number) {
            calls.fire(key, StoreEvent.REPLIED, reply, now, effects);
        }
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
