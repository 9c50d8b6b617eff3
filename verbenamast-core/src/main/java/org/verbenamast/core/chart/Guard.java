package org.verbenamast.core.chart;

/**
 * A condition on a transition. Implemented by the constants of an enum, which a chart file names.
 *
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public interface Guard<D, I> {

    /**
     * Tells whether the transition may be taken.
     *
     * @param data the instance's data before the transition
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return whether the transition may be taken
     */
    boolean permits(D data, I input, long now);
}
