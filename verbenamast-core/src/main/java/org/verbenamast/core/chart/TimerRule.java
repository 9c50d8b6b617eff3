package org.verbenamast.core.chart;

/**
 * A timer of a chart. The constants of an enum implement it; a chart file refers to them by name.
 *
 * @param <E> the type of the chart's events
 * @param <D> the type of the instance's data
 */
public interface TimerRule<E extends Enum<E>, D> {

    /**
     * Returns the event that is fired when the timer is due.
     *
     * @return the event
     */
    E fires();

    /**
     * Returns the delay from the start of the timer until it is due. Computed once, when the timer starts.
     *
     * @param data the instance's data when the timer starts
     * @param now the monotonic time, in nanoseconds
     * @return the delay in nanoseconds
     */
    long delayNanos(D data, long now);
}
