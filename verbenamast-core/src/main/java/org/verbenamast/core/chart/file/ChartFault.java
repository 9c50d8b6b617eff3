package org.verbenamast.core.chart.file;

import java.util.Objects;

/**
 * A fault that loading a chart file finds.
 *
 * @param kind the kind
 * @param chart the name of the chart or file
 * @param message what was found and what is wanted
 */
public record ChartFault(ChartFaultKind kind, String chart, String message) {

    /** Checks that each part is given. */
    public ChartFault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(message, "message");
    }

    static ChartFault shouldBeReadable(String chart, String cause) {
        return new ChartFault(ChartFaultKind.MALFORMED, chart, "the file should be a readable chart: " + cause);
    }

    static ChartFault shouldNameKnown(String chart, String sort, String state, String name, Object known) {
        String message =
                "state %s should name a known %s, but names <%s>; known are %s".formatted(state, sort, name, known);
        return new ChartFault(ChartFaultKind.UNKNOWN_NAME, chart, message);
    }

    static ChartFault shouldBeUnique(String chart, String state) {
        return new ChartFault(
                ChartFaultKind.DUPLICATE_STATE, chart, "state %s should be described once".formatted(state));
    }

    static ChartFault shouldBeReachable(String chart, String state) {
        String message = "state %s should be reachable from the initial state".formatted(state);
        return new ChartFault(ChartFaultKind.UNREACHABLE_STATE, chart, message);
    }

    static ChartFault shouldHaveExit(String chart, String state) {
        String message = "state %s should lead to another state or be marked as last".formatted(state);
        return new ChartFault(ChartFaultKind.DEAD_END, chart, message);
    }

    static ChartFault shouldHaveNoExit(String chart, String state) {
        String message = "state %s is last and should have no transitions and start no timers".formatted(state);
        return new ChartFault(ChartFaultKind.FINAL_STATE_GOES_ON, chart, message);
    }

    static ChartFault shouldBeUnambiguous(String chart, String state, String event) {
        String message = "state %s should have at most one transition without a guard on %s, as the last"
                .formatted(state, event);
        return new ChartFault(ChartFaultKind.AMBIGUOUS_EVENT, chart, message);
    }

    static ChartFault shouldCancelTimer(String chart, String state, String timer) {
        String message =
                "state %s should cancel timer %s or take its event, since it may be armed".formatted(state, timer);
        return new ChartFault(ChartFaultKind.UNCANCELLED_TIMER, chart, message);
    }
}
