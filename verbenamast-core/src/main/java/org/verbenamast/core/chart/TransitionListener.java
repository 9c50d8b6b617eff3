package org.verbenamast.core.chart;

/** Notified of each transition of the instances of a chart, for logs and traces. */
@FunctionalInterface
public interface TransitionListener {

    /** A listener that ignores all transitions. */
    TransitionListener NONE = (chart, subject, event, transition, now) -> {};

    /**
     * Called after the actions of a transition ran and the instance was updated.
     *
     * @param chart the name of the chart
     * @param subject the key of the instance
     * @param event the event that triggered the transition
     * @param transition the transition
     * @param now the monotonic time, in nanoseconds
     */
    void onTransition(String chart, Object subject, Enum<?> event, Transition<?, ?> transition, long now);
}
