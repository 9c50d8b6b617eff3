package org.verbenamast.core.chart;

import org.verbenamast.core.effect.Effects;

/**
 * A step that a transition runs. Implemented by the constants of an enum, which a chart file names.
 *
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public interface Action<D, I> {

    /**
     * Derives the next data and emits effects.
     *
     * @param data the instance's data before the step
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return the instance's data after the step
     */
    D apply(D data, I input, long now, Effects effects);
}
