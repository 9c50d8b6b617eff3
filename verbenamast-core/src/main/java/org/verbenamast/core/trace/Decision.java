package org.verbenamast.core.trace;

import java.util.Objects;

/**
 * A transition that a chart took.
 *
 * @param at the monotonic time, in nanoseconds
 * @param chart the chart's name
 * @param subject what follows the chart
 * @param event the event's name
 * @param guard the guard's name, or an empty text
 * @param from the state that was left
 * @param to the state that was entered, or the same state
 */
public record Decision(long at, String chart, String subject, String event, String guard, String from, String to) {

    /** Checks the parts. */
    public Decision {
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
    }
}
