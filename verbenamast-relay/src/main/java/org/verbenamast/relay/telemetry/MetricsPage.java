package org.verbenamast.relay.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Objects;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.ClassicHistogramBuckets;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.CounterSnapshot.CounterDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot.GaugeDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot.HistogramDataPointSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.client.ClientRefusal;
import org.verbenamast.core.keys.KeyStatus;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.tenant.CapStatus;
import org.verbenamast.core.tenant.CapUsage;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.ClientRegister;

/** Renders the metrics of a node in the Prometheus text format, from the current state at each request. */
public final class MetricsPage {

    /** Limit on the series of tenants, of which a manifest may name any number. */
    private static final int MAX_TENANT_SERIES = 200;

    private static final String PREFIX = "verbenamast_relay_";
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RelayCore core;
    private final RequestCounts counts;
    private final ClientRegister clients;

    /**
     * Creates the page of a node.
     *
     * @param core the decision logic, whose state becomes gauges
     * @param counts the counters of requests and store calls
     * @param clients the connections of all clients
     */
    public MetricsPage(RelayCore core, RequestCounts counts, ClientRegister clients) {
        this.core = Objects.requireNonNull(core, "core");
        this.counts = Objects.requireNonNull(counts, "counts");
        this.clients = Objects.requireNonNull(clients, "clients");
    }

    /**
     * Renders the page.
     *
     * @return the text, encoded in UTF-8
     * @throws IOException if the writer fails
     */
    public byte[] write() throws IOException {
        long now = RelayLoop.now();
        MetricSnapshots.Builder snapshots = MetricSnapshots.builder()
                .metricSnapshot(requests())
                .metricSnapshot(durations())
                .metricSnapshot(storeCalls());
        addServer(snapshots, core.admission().load(now));
        addNode(snapshots);
        addCaps(snapshots, now);
        addClients(snapshots);
        addKeys(snapshots, core.keys().status(now));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, snapshots.build(), EscapingScheme.DEFAULT);
        return out.toByteArray();
    }

    private static void addServer(MetricSnapshots.Builder snapshots, AdmissionLoad load) {
        snapshots.metricSnapshot(gauge("server_running", "Requests that the server runs.", load.running()));
        snapshots.metricSnapshot(gauge("server_slots", "Requests that the server may run at once.", load.slots()));
        snapshots.metricSnapshot(gauge("gate_queued", "Requests that wait in front of the server.", load.queued()));
        snapshots.metricSnapshot(gauge(
                "server_service_seconds",
                "Service time that the gate reckons with.",
                load.serviceMillis() / MILLIS_PER_SECOND));
    }

    private void addNode(MetricSnapshots.Builder snapshots) {
        int members = core.roster().members().size();
        long manifest = core.manifest().version();
        snapshots.metricSnapshot(
                gauge("store_era", "Era of the store.", core.follow().eras().era()));
        snapshots.metricSnapshot(gauge("manifest_version", "Version of the manifest in force.", manifest));
        snapshots.metricSnapshot(gauge(
                "manifest_unreadable_entries",
                "Entries of the manifest in force that can't be read.",
                core.manifest().gaps()));
        snapshots.metricSnapshot(gauge("members", "Members that the node knows.", members));
        snapshots.metricSnapshot(gauge("ready", "Whether the node can take requests.", core.isReady() ? 1 : 0));
        snapshots.metricSnapshot(gauge(
                "repeats_left",
                "Requests that may still be sent to a second server, over all services.",
                core.entry().repeatsLeft()));
        snapshots.metricSnapshot(
                counter("log_lines_dropped", "Log lines that the full queue has dropped.", LogQueue.droppedLines()));
        snapshots.metricSnapshot(
                counter("errors", "Decisions and effects that failed with an unexpected error.", counts.errors()));
    }

    private void addCaps(MetricSnapshots.Builder snapshots, long now) {
        CapStatus status = core.caps().status(now);
        if (!status.active()) {
            return;
        }
        snapshots.metricSnapshot(gauge(
                "cap_bank_nodes",
                "Nodes that have ceded their share of the caps to this node as the bank.",
                status.cedingNodes()));
        snapshots.metricSnapshot(
                counter("cap_grants_rejected", "Grants of a bank that were not accepted.", status.rejectedGrants()));
        GaugeSnapshot.Builder tokens =
                GaugeSnapshot.builder().name(PREFIX + "cap_tokens").help("Tokens that the node holds, by tenant.");
        CounterSnapshot.Builder requests = CounterSnapshot.builder()
                .name(PREFIX + "cap_requests")
                .help("Requests of tenants with a cap, by tenant and by whether they got a token.");
        status.usage().entrySet().stream().limit(MAX_TENANT_SERIES).forEach(entry -> {
            CapUsage usage = entry.getValue();
            tokens.dataPoint(GaugeDataPointSnapshot.builder()
                    .labels(Labels.of("tenant", entry.getKey()))
                    .value(usage.tokens())
                    .build());
            requests.dataPoint(capRequests(entry.getKey(), "admitted", usage.admitted()));
            requests.dataPoint(capRequests(entry.getKey(), "refused", usage.refused()));
        });
        snapshots.metricSnapshot(tokens.build());
        snapshots.metricSnapshot(requests.build());
    }

    private static CounterDataPointSnapshot capRequests(String tenant, String outcome, long count) {
        return CounterDataPointSnapshot.builder()
                .labels(Labels.of("tenant", tenant, "outcome", outcome))
                .value(count)
                .build();
    }

    private void addClients(MetricSnapshots.Builder snapshots) {
        snapshots.metricSnapshot(
                gauge("client_connections", "Connections of callers and other nodes.", clients.connections()));
        snapshots.metricSnapshot(
                gauge("client_held_bytes", "Bytes that the node holds for these connections.", clients.heldBytes()));
        CounterSnapshot.Builder refusals = CounterSnapshot.builder()
                .name(PREFIX + "client_refusals")
                .help("Requests refused and connections closed for the limits on clients, by reason.");
        for (ClientRefusal reason : ClientRefusal.values()) {
            refusals.dataPoint(CounterDataPointSnapshot.builder()
                    .labels(Labels.of("reason", reason.name()))
                    .value(clients.refusals(reason))
                    .build());
        }
        snapshots.metricSnapshot(refusals.build());
    }

    private static void addKeys(MetricSnapshots.Builder snapshots, KeyStatus keys) {
        snapshots.metricSnapshot(gauge("key_ranges_owned", "Ranges of keys that the server owns.", keys.ownedRanges()));
        snapshots.metricSnapshot(gauge(
                "key_ranges_moving", "Ranges of the service that move or wait for an owner.", keys.movingRanges()));
        snapshots.metricSnapshot(gauge("key_epoch", "Highest fencing token of the service's keys.", keys.lastEpoch()));
        snapshots.metricSnapshot(gauge(
                "lease_left_seconds", "Time for which the node may still grant keys.", seconds(keys.leaseNanos())));
        snapshots.metricSnapshot(gauge(
                "hold_left_seconds",
                "Time for which the server may still hold keys that were granted.",
                seconds(keys.grantNanos())));
    }

    private MetricSnapshot requests() {
        CounterSnapshot.Builder counter = CounterSnapshot.builder()
                .name(PREFIX + "requests")
                .help("Requests that ended, by hop, route, outcome and reason.");
        counts.ends()
                .forEach((series, count) -> counter.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of(
                                "hop",
                                series.hop().text(),
                                "route",
                                series.route(),
                                "outcome",
                                series.outcome(),
                                "reason",
                                series.reason()))
                        .value(count)
                        .build()));
        return counter.build();
    }

    private MetricSnapshot durations() {
        HistogramSnapshot.Builder histogram = HistogramSnapshot.builder()
                .name(PREFIX + "request_duration_seconds")
                .help("Time from a request to the end of its answer, of those that were served.");
        counts.durations()
                .forEach((series, durations) -> histogram.dataPoint(HistogramDataPointSnapshot.builder()
                        .labels(Labels.of("hop", series.hop().text(), "route", series.route()))
                        .classicHistogramBuckets(
                                ClassicHistogramBuckets.of(Durations.boundsSeconds(), durations.bucketCounts()))
                        .sum(durations.sumSeconds())
                        .build()));
        return histogram.build();
    }

    private MetricSnapshot storeCalls() {
        CounterSnapshot.Builder counter = CounterSnapshot.builder()
                .name(PREFIX + "store_calls")
                .help("Calls to the store that ended, by purpose and result.");
        counts.storeCalls()
                .forEach((series, count) -> counter.dataPoint(CounterDataPointSnapshot.builder()
                        .labels(Labels.of("purpose", series.purpose(), "result", series.result()))
                        .value(count)
                        .build()));
        return counter.build();
    }

    private static double seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }

    private static MetricSnapshot counter(String name, String help, long value) {
        return CounterSnapshot.builder()
                .name(PREFIX + name)
                .help(help)
                .dataPoint(CounterDataPointSnapshot.builder().value(value).build())
                .build();
    }

    private static MetricSnapshot gauge(String name, String help, double value) {
        return GaugeSnapshot.builder()
                .name(PREFIX + name)
                .help(help)
                .dataPoint(GaugeDataPointSnapshot.builder().value(value).build())
                .build();
    }
}
