package org.verbenamast.core.trace;

import java.util.Objects;

/**
 * A transition of a chart. Operators read it in JSON.
 *
 * @param at the monotonic time of the transition, in nanoseconds
 * @param chart the chart's name
 * @param subject the name of the chart instance, such as a request or a table
 * @param event the event's name
 * @param guard the name of the guard that permitted the transition, or an empty text
 * @param from the state before the transition
 * @param to the state after the transition; equal to {@code from} where the state does not change
 */
public record Decision(long at, String chart, String subject, String event, String guard, String from, String to) {

    /** Checks that all texts are present. */
    public Decision {
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(guard, "guard");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
    }
}
