package org.verbenamast.core.stop;

import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.node.Timing;

/** Controls the planned stop of a node, so that no request that it has taken ends without an answer. */
public final class StopController {

    /** The vocabulary of chart {@code stop}. */
    public static final Vocabulary<StopEvent, StopGuard, StopAction, StopTimer, StopTag> VOCABULARY =
            new Vocabulary<>(StopEvent.class, StopGuard.class, StopAction.class, StopTimer.class, StopTag.class);

    private static final String KEY = "stop";

    private final ChartInstances<String, StopEvent, StopData, StopInput> stops;

    /**
     * Creates a controller of a node that serves.
     *
     * @param listener notified of each transition
     */
    public StopController(TransitionListener listener) {
        this.stops = new ChartInstances<>(ChartReader.bundled("stop", VOCABULARY), event -> StopInput.NONE, listener);
        stops.begin(KEY, StopData.initial(), 0);
    }

    /**
     * Begins the stop; ignored if it has begun already.
     *
     * @param graceMillis the time after which the process is killed, in milliseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void stop(long graceMillis, long now, Effects effects) {
        stops.fire(KEY, StopEvent.STOP, new StopInput(Timing.millisToNanos(graceMillis), false), now, effects);
    }

    /**
     * Fires the timers that are due, and ends the stop of a node that has nothing left to do.
     *
     * @param isIdle whether no request is open
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(boolean isIdle, long now, Effects effects) {
        stops.advance(now, effects);
        stops.fire(KEY, StopEvent.REVIEWED, new StopInput(0, isIdle), now, effects);
    }

    /**
     * Returns whether the node is going to exit.
     *
     * @return whether the stop has begun
     */
    public boolean isStopping() {
        Instance<StopData> stop = stops.find(KEY);
        return stop == null || stop.hasTag(StopTag.STOPPING);
    }

    /**
     * Returns until when a request that is taken now has to be answered.
     *
     * @return the monotonic time, in nanoseconds; {@code Long.MAX_VALUE} while no stop is planned
     */
    public long answersUntil() {
        Instance<StopData> stop = stops.find(KEY);
        return stop != null && stop.hasTag(StopTag.STOPPING) ? stop.data().lastAnswerAt() : Long.MAX_VALUE;
    }
}
