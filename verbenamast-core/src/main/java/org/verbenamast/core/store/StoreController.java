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

/** Sends calls to the table service and repeats those that get no usable reply. */
public final class StoreController {

    /** The names that the chart file may use. */
    public static final Vocabulary<StoreEvent, StoreGuard, StoreAction, StoreTimer, NoTag> VOCABULARY =
            new Vocabulary<>(StoreEvent.class, StoreGuard.class, StoreAction.class, StoreTimer.class, NoTag.class);

    private final ChartInstances<Long, StoreEvent, StoreCall, StoreReply> calls;
    private final StoreRetryPolicy retryPolicy;
    private long lastCallId;

    /**
     * Creates a controller without open calls.
     *
     * @param retryPolicy decides whether and when another attempt follows
     * @param listener notified of each transition
     */
    public StoreController(StoreRetryPolicy retryPolicy, TransitionListener listener) {
        Chart<StoreEvent, StoreCall, StoreReply> chart = ChartReader.bundled("store-call", VOCABULARY);
        this.calls = new ChartInstances<>(chart, event -> new StoreReply.Failed(StoreFailure.NO_ANSWER), listener);
        this.retryPolicy = Objects.requireNonNull(retryPolicy, "retryPolicy");
    }

    /**
     * Sends a request, and repeats it as the retry policy permits if there is no usable reply.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @param continuation receives the reply; called exactly once
     */
    public void submit(StoreRequest request, long now, Effects effects, StoreContinuation continuation) {
        begin(request, StoreRetryPolicy.LAST_ATTEMPT, now, effects, continuation);
    }

    /**
     * Sends a request once. For callers that have a better alternative than waiting for another attempt.
     *
     * @param request the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @param continuation receives the reply; called exactly once
     */
    public void submitOnce(StoreRequest request, long now, Effects effects, StoreContinuation continuation) {
        begin(request, 0, now, effects, continuation);
    }

    private void begin(
            StoreRequest request, int lastAttempt, long now, Effects effects, StoreContinuation continuation) {
        long callId = ++lastCallId;
        retryPolicy.countCall();
        calls.begin(callId, StoreCall.first(callId, request, lastAttempt, retryPolicy, continuation), now);
        calls.fire(callId, StoreEvent.START, new StoreReply.Failed(StoreFailure.NO_ANSWER), now, effects);
    }

    /**
     * Handles a reply. Replies to attempts before the current one are ignored.
     *
     * @param attemptId the id of the attempt
     * @param reply the reply
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onReply(long attemptId, StoreReply reply, long now, Effects effects) {
        long callId = StoreCall.callIdOf(attemptId);
        Instance<StoreCall> call = calls.find(callId);
        if (call != null && call.data().attemptId() == attemptId) {
            calls.fire(callId, StoreEvent.REPLIED, reply, now, effects);
        }
    }

    /**
     * Fires the timers that are due: reply timeouts and the ends of backoffs.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        calls.advance(now, effects);
    }

    /**
     * Returns when the next timer of a call is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return calls.nextDue();
    }
}
