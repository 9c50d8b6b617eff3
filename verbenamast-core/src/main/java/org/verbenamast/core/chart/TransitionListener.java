package org.verbenamast.core.chart;

/** Is told of each transition that a chart takes. */
@FunctionalInterface
public interface TransitionListener {

    /** A listener that ignores everything. */
    TransitionListener NONE = (chart, subject, event, transition, now) -> {};

    /**
     * Is called after a transition.
     *
     * @param chart the name of the chart
     * @param subject what follows the chart
     * @param event the event that was taken
     * @param transition the transition
     * @param now the monotonic time, in nanoseconds
     */
    void onTransition(String chart, Object subject, Enum<?> event, Transition<?, ?> transition, long now);
}
