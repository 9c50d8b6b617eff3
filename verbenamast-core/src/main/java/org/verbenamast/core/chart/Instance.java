package org.verbenamast.core.chart;

import java.util.Objects;

/**
 * One long-lived thing that follows a chart.
 *
 * @param state the state it is in
 * @param data its data
 * @param deadlines its armed timers
 * @param <D> the type of its data
 */
public record Instance<D>(ChartState state, D data, Deadlines deadlines) {

    /** Checks that each part is given. */
    public Instance {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(data, "data");
        Objects.requireNonNull(deadlines, "deadlines");
    }

    /**
     * Tells whether the current state carries a tag.
     *
     * @param tag the tag
     * @return whether the chart file marks the state with it
     */
    public boolean hasTag(Enum<?> tag) {
        return state.hasTag(tag);
    }

    /**
     * Tells whether the life cycle has ended.
     *
     * @return whether the state is final
     */
    public boolean ended() {
        return state.isFinal();
    }

    /**
     * Returns this instance with other data in the same state.
     *
     * @param next the data
     * @return the changed instance
     */
    public Instance<D> with(D next) {
        return next == data ? this : new Instance<>(state, next, deadlines);
    }
}
