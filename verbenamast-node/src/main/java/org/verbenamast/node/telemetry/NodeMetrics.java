package org.verbenamast.node.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Locale;

import io.prometheus.metrics.config.EscapingScheme;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.RowFault;
import org.verbenamast.core.node.NodeCore;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.wire.WireFault;

/** The node's metrics. */
public final class NodeMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    private final Counter requests = Counter.builder()
            .name("verbenamast_requests_total")
            .help("Requests of callers that ended, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("verbenamast_request_duration_seconds")
            .help("Time from a caller's request to its answer.")
            .classicOnly()
            .classicUpperBounds(0.001, 0.002, 0.005, 0.011, 0.02, 0.05, 0.1, 0.5, 1, 5)
            .register(registry);
    private final Counter peerBytes = Counter.builder()
            .name("verbenamast_peer_bytes_total")
            .help("Bytes on the links between nodes, by direction.")
            .labelNames("direction")
            .register(registry);
    private final Counter refusedMessages = Counter.builder()
            .name("verbenamast_peer_refused_messages_total")
            .help("Messages from nodes that could not be read, by fault.")
            .labelNames("fault")
            .register(registry);

    private long unreadableRows;

    /**
     * Registers the gauges that read the decisions.
     *
     * @param core the decisions
     */
    public void watch(NodeCore core) {
        gauge("verbenamast_slices_owned", "Slices that this node owns.", () -> core.ownership()
                .ownedSliceCount());
        gauge("verbenamast_server_running", "Requests at the backend server.", () -> core.executions()
                .running());
        gauge("verbenamast_entries_open", "Requests of callers under way.", () -> core.requests()
                .openRequests());
        gauge("verbenamast_members_known", "Members that this node knows, ended ones included.", () -> core.directory()
                .members()
                .size());
        countRefusedRows(core.directory());
    }

    /** Counts a row of the table service that could not be read. */
    public void rowUnreadable() {
        unreadableRows++;
    }

    private void countRefusedRows(Directory directory) {
        CounterWithCallback.builder()
                .name("verbenamast_rows_refused_total")
                .help("Rows that were refused, by fault.")
                .labelNames("fault")
                .callback(callback -> {
                    callback.call(unreadableRows, "unreadable");
                    for (RowFault fault : RowFault.values()) {
                        callback.call(directory.refusals(fault), fault.name().toLowerCase(Locale.ROOT));
                    }
                })
                .register(registry);
    }

    private void gauge(String name, String help, java.util.function.IntSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsInt()))
                .register(registry);
    }

    /**
     * Counts the end of a caller's request.
     *
     * @param outcome how it ended
     * @param nanos how long it took, in nanoseconds
     */
    public void callerAnswered(RequestOutcome outcome, long nanos) {
        requests.labelValues(OutcomeLabel.of(outcome)).inc();
        latency.observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Counts bytes sent to other nodes.
     *
     * @param bytes the number of bytes
     */
    public void peerSent(int bytes) {
        peerBytes.labelValues("sent").inc(bytes);
    }

    /**
     * Counts bytes received from other nodes.
     *
     * @param bytes the number of bytes
     */
    public void peerReceived(int bytes) {
        peerBytes.labelValues("received").inc(bytes);
    }

    /**
     * Counts a message that could not be read.
     *
     * @param fault the kind of fault
     */
    public void messageRefused(WireFault fault) {
        refusedMessages.labelValues(fault.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @return the text's bytes
     * @throws IOException where the writer fails
     */
    public byte[] write() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.write(out, registry.scrape(), EscapingScheme.DEFAULT);
        return out.toByteArray();
    }
}
