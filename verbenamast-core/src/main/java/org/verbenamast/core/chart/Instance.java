package org.verbenamast.core.chart;

import java.util.Objects;

/**
 * One run-time instance of a state machine, such as a single request or lease. Immutable: each event yields a new one.
 *
 * @param state the current state
 * @param data the data that guards and actions use
 * @param deadlines the armed timers
 * @param <D> the type of the data
 */
public record Instance<D>(ChartState state, D data, Deadlines deadlines) {

    /** Checks that no component is null. */
    public Instance {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(data, "data");
        Objects.requireNonNull(deadlines, "deadlines");
    }

    /**
     * Returns whether the current state has a tag.
     *
     * @param tag a constant of the tag enum in the chart's vocabulary
     * @return whether the chart file lists the tag for the state
     */
    public boolean hasTag(Enum<?> tag) {
        return state.hasTag(tag);
    }

    /**
     * Returns whether this instance has ended, that is, whether its state is final.
     *
     * @return whether no event can change it any more
     */
    public boolean ended() {
        return state.isFinal();
    }

    /**
     * Returns an instance with other data but the same state and timers.
     *
     * @param next the new data
     * @return the changed instance, or this one where the data object is the same
     */
    public Instance<D> with(D next) {
        return next == data ? this : new Instance<>(state, next, deadlines);
    }
}
