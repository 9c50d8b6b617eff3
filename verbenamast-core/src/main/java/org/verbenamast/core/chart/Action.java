package org.verbenamast.core.chart;

import org.verbenamast.core.effect.Effects;

/**
 * An action of a transition. The constants of an enum implement it; a chart file refers to them by name.
 *
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public interface Action<D, I> {

    /**
     * Returns the instance's next data and emits effects.
     *
     * @param data the instance's data before the action
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return the instance's data after the action
     */
    D apply(D data, I input, long now, Effects effects);
}
