package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

/**
 * A transition of a loaded chart.
 *
 * @param from the source state
 * @param event the event's ordinal
 * @param guardName the guard's name in the chart file, or an empty string where it has none
 * @param guard the guard, or null where the transition is always permitted
 * @param to the target state, or null for an internal transition, which neither starts nor cancels timers
 * @param actions the actions, in the order in which they run
 * @param <D> the type of the instance's data
 * @param <I> the type of the event's input
 */
public record Transition<D, I>(
        ChartState from, int event, String guardName, Guard<D, I> guard, ChartState to, List<Action<D, I>> actions) {

    /** Checks the required components and copies the list. */
    public Transition {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(guardName, "guardName");
        actions = List.copyOf(actions);
    }

    /**
     * Returns whether the guard permits this transition; one without a guard is always permitted.
     *
     * @param data the instance's data
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return whether it is permitted
     */
    boolean permits(D data, I input, long now) {
        return guard == null || guard.permits(data, input, now);
    }
}
