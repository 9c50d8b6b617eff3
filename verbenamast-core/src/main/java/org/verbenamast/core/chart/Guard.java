package org.verbenamast.core.chart;

/**
 * A condition of a transition. The constants of an enum implement it; a chart file refers to them by name.
 *
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public interface Guard<D, I> {

    /**
     * Returns whether the transition is permitted.
     *
     * @param data the instance's data before the transition
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return whether the transition is permitted
     */
    boolean permits(D data, I input, long now);
}
