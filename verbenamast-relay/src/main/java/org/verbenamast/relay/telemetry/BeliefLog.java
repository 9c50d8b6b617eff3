package org.verbenamast.relay.telemetry;

import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.keys.GrantedKeys;
import org.verbenamast.core.keys.KeyEffect;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.Tenant;
import org.verbenamast.core.roster.ServerIncarnation;

/** Logs changes in a node's view of the cluster: state transitions, and keys granted to or withdrawn from a server. */
public final class BeliefLog {

    private static final Logger LOG = LoggerFactory.getLogger(BeliefLog.class);
    /** Suffix in the names of charts for single requests; {@link RequestLog} logs their decisions. */
    private static final String REQUEST_CHART_SUFFIX = "-request";

    private BeliefLog() {}

    /**
     * Logs a transition to a different state, except those of single requests.
     *
     * @param chart the chart's name
     * @param subject the object whose state changed
     * @param event the event that caused the transition
     * @param transition the transition
     * @param now the monotonic time, in nanoseconds; unused, because the log line has the wall-clock time
     */
    public static void transition(String chart, Object subject, Enum<?> event, Transition<?, ?> transition, long now) {
        boolean unchanged = transition.to() == null || transition.to() == transition.from();
        if (unchanged || chart.endsWith(REQUEST_CHART_SUFFIX)) {
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
     * Logs that a version of the manifest has come into force, and each of its entries that can't be read.
     *
     * @param manifest the manifest
     */
    public static void manifestInForce(Manifest manifest) {
        LOG.info(
                "manifest {} in force, {} routes, {} tenants",
                manifest.version(),
                manifest.routes().size(),
                manifest.tenants().size());
        manifest.gaps()
                .forEach(gap ->
                        LOG.warn("manifest {} has an entry that can't be read: {}", manifest.version(), gap.fault()));
    }

    /**
     * Logs the caps of a manifest that are not those of the one before.
     *
     * @param before the tenants of the manifest before
     * @param manifest the manifest that has come into force
     */
    public static void capsChanged(List<Tenant> before, Manifest manifest) {
        manifest.tenants().stream()
                .filter(tenant -> before.stream().noneMatch(known -> hasSameCap(known, tenant)))
                .forEach(tenant -> LOG.info(
                        "cap of {} requests a second, {} at once",
                        tenant.ratePerSecond(),
                        tenant.burst(),
                        LogField.TENANT.of(tenant.name()),
                        LogField.MANIFEST.of(manifest.version())));
    }

    private static boolean hasSameCap(Tenant known, Tenant tenant) {
        return known.name().equals(tenant.name())
                && known.ratePerSecond() == tenant.ratePerSecond()
                && known.burst() == tenant.burst();
    }

    /**
     * Logs that the server was granted keys.
     *
     * @param granted the keys and the server's incarnation
     */
    public static void granted(KeyEffect.Granted granted) {
        write("keys granted", granted.incarnation(), granted.keys());
    }

    /**
     * Logs that the server must give up keys.
     *
     * @param withdrawn the keys and the server's incarnation
     */
    public static void withdrawn(KeyEffect.Withdrawn withdrawn) {
        write("keys withdrawn", withdrawn.incarnation(), withdrawn.keys());
    }

    private static void write(String message, ServerIncarnation incarnation, GrantedKeys keys) {
        LOG.info(
                message,
                LogField.SERVER.of(incarnation),
                LogField.KEYS.of(keys.range()),
                LogField.EPOCH.of(keys.epoch()));
    }
}
