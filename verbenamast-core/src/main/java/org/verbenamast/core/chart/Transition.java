package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

/**
 * A transition of a loaded chart.
 *
 * @param from the state that is left
 * @param event the event's ordinal
 * @param guardName the guard's name in the chart file, or an empty text
 * @param guard the guard, or null where the transition has none
 * @param to the state that is entered, or null where the instance stays without leaving its state
 * @param actions the actions in order
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public record Transition<D, I>(
        ChartState from, int event, String guardName, Guard<D, I> guard, ChartState to, List<Action<D, I>> actions) {

    /** Checks the parts and copies the list. */
    public Transition {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(guardName, "guardName");
        actions = List.copyOf(actions);
    }

    /**
     * Tells whether the guard lets this transition be taken.
     *
     * @param data the instance's data
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return whether it may be taken
     */
    boolean permits(D data, I input, long now) {
        return guard == null || guard.permits(data, input, now);
    }
}
