package org.verbenamast.relay.telemetry;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.keys.GrantedKeys;
import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.roster.ServerIncarnation;

/** Writes the changes of what a node believes: life cycles that go on, and keys that its server gets or drops. */
public final class BeliefLog {

    private static final Logger LOG = LoggerFactory.getLogger(BeliefLog.class);
    /** How the names of the charts of single requests end; their decisions are in {@link RequestLog}. */
    private static final String REQUEST_CHART_SUFFIX = "-request";

    private BeliefLog() {}

    /**
     * Writes a transition that leads to another state.
     *
     * @param chart the chart's name
     * @param subject what the chart is about
     * @param event what happened
     * @param transition the transition
     * @param now the monotonic time, in nanoseconds; the line has the time of day
     */
    public static void transition(String chart, Object subject, Enum<?> event, Transition<?, ?> transition, long now) {
        boolean same = transition.to() == null || transition.to() == transition.from();
        if (same || chart.endsWith(REQUEST_CHART_SUFFIX)) {
            return;
        }
        LOG.info(
                "{} {}: {} -> {} on {}",
                chart,
                subject,
                transition.from().name(),
                transition.to().name(),
                event,
                LogField.CHART.of(chart),
                LogField.SUBJECT.of(subject));
    }

    /**
     * Writes that the server gets keys.
     *
     * @param granted the keys
     */
    public static void granted(KeyEffect.Granted granted) {
        write("keys granted", granted.life(), granted.keys());
    }

    /**
     * Writes that the server is to drop keys.
     *
     * @param withdrawn the keys
     */
    public static void withdrawn(KeyEffect.Withdrawn withdrawn) {
        write("keys withdrawn", withdrawn.life(), withdrawn.keys());
    }

    private static void write(String what, ServerIncarnation life, GrantedKeys keys) {
        LOG.info(what, LogField.SERVER.of(life), LogField.KEYS.of(keys.range()), LogField.EPOCH.of(keys.epoch()));
    }
}
