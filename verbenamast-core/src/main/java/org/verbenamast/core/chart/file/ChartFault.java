package org.verbenamast.core.chart.file;

import java.util.Objects;

/**
 * A fault in a chart file.
 *
 * @param kind the kind of the fault
 * @param chart the name of the chart, or of the file where it can't be read
 * @param message what was expected and what was found
 */
public record ChartFault(ChartFaultKind kind, String chart, String message) {

    /** Checks that no component is null. */
    public ChartFault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(message, "message");
    }

    static ChartFault shouldBeReadable(String chart, String cause) {
        return new ChartFault(
                ChartFaultKind.MALFORMED,
                chart,
                "the file should be a readable chart, but reading it failed: " + cause);
    }

    static ChartFault shouldNameKnown(String chart, String nameKind, String state, String name, Object known) {
        String message = "state %s should name a known %s, but names <%s>; known names are %s"
                .formatted(state, nameKind, name, known);
        return new ChartFault(ChartFaultKind.UNKNOWN_NAME, chart, message);
    }

    static ChartFault shouldBeUnique(String chart, String state) {
        return new ChartFault(
                ChartFaultKind.DUPLICATE_STATE,
                chart,
                "state %s should be declared once, but its name occurs again".formatted(state));
    }

    static ChartFault shouldBeReachable(String chart, String state) {
        String message = "state %s should be reachable from the initial state, but no chain of transitions leads to it"
                .formatted(state);
        return new ChartFault(ChartFaultKind.UNREACHABLE_STATE, chart, message);
    }

    static ChartFault shouldHaveExit(String chart, String state) {
        String message = "state %s should have a transition to another state or be marked as last, but has none"
                .formatted(state);
        return new ChartFault(ChartFaultKind.DEAD_END, chart, message);
    }

    static ChartFault shouldHaveNoExit(String chart, String state) {
        String message = "state %s is marked as last and should have no transitions and start no timers, but has some"
                .formatted(state);
        return new ChartFault(ChartFaultKind.FINAL_STATE_GOES_ON, chart, message);
    }

    static ChartFault shouldBeUnambiguous(String chart, String state, String event) {
        String message = "state %s should not have a transition on %s after one without a guard or with the same guard"
                .formatted(state, event);
        return new ChartFault(ChartFaultKind.AMBIGUOUS_EVENT, chart, message);
    }

    static ChartFault shouldCancelTimer(String chart, String state, String timer) {
        String message = "state %s should cancel timer %s or handle its event, since the timer may be armed there"
                .formatted(state, timer);
        return new ChartFault(ChartFaultKind.UNCANCELLED_TIMER, chart, message);
    }
}
