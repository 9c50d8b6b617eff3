package org.verbenamast.node.telemetry;

import org.verbenamast.core.request.RequestOutcome;

/** The names under which outcomes are counted and traced. */
final class OutcomeLabel {

    private OutcomeLabel() {}

    static String of(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.NotRun notRun) {
            return "not_run_" + notRun.reason().name().toLowerCase(java.util.Locale.ROOT);
        }
        if (outcome instanceof RequestOutcome.Unknown unknown) {
            return "unknown_" + unknown.reason().name().toLowerCase(java.util.Locale.ROOT);
        }
        return "answered";
    }
}
