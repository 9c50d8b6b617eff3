package org.verbenamast.relay.telemetry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.client.ClientLimits;
import org.verbenamast.core.keys.KeyLeaseTimings;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.relay.RelayLimits;
import org.verbenamast.core.relay.RelaySettings;
import org.verbenamast.relay.net.ClientRegister;

import static org.assertj.core.api.Assertions.assertThat;

class MetricsPageTest {

    private static final Supplier<Object[]> NO_INPUTS = () -> new Object[0];

    private final RelayCore core = new RelayCore(
            new RelaySettings(
                    "node",
                    7,
                    new Zone("a"),
                    "stock",
                    new Address("127.0.0.1", 2),
                    new Address("127.0.0.1", 1),
                    KeyLeaseTimings.DEFAULT,
                    2_000,
                    RelayLimits.DEFAULT,
                    0,
                    () -> 0.5),
            TransitionListener.NONE);
    private final RequestCounts counts = new RequestCounts();

    private String page() throws IOException {
        return new String(
                new MetricsPage(core, counts, new ClientRegister(ClientLimits.DEFAULT.resolve(1, 1))).write(),
                StandardCharsets.UTF_8);
    }

    @Test
    void should_count_requests_by_route_and_reason_when_they_end() throws IOException {
        // given
        RequestLog log = new RequestLog(Hop.GATE, counts);
        log.recordEnd(new RequestEnd("refused", "FULL", "1", "items", 5), NO_INPUTS);
        log.recordEnd(new RequestEnd("refused", "FULL", "2", "items", 5), NO_INPUTS);
        log.recordEnd(RequestEnd.answered("3", "items", 250_000_000), NO_INPUTS);
        counts.recordStoreCall("KEYS", "Committed");

        // then
        assertThat(page())
                .contains("verbenamast_relay_requests_total{hop=\"gate\",outcome=\"refused\",reason=\"FULL\","
                        + "route=\"items\"} 2.0")
                .contains(
                        "verbenamast_relay_request_duration_seconds_bucket{hop=\"gate\",route=\"items\",le=\"0.2\"} 0")
                .contains(
                        "verbenamast_relay_request_duration_seconds_bucket{hop=\"gate\",route=\"items\",le=\"0.3\"} 1")
                .contains("verbenamast_relay_store_calls_total{purpose=\"KEYS\",result=\"Committed\"} 1.0");
    }

    @Test
    void should_show_the_state_of_the_node_when_nothing_was_counted() throws IOException {
        assertThat(page())
                .contains("verbenamast_relay_ready 0.0")
                .contains("verbenamast_relay_gate_queued 0.0")
                .contains("verbenamast_relay_key_ranges_owned 0.0")
                .contains("verbenamast_relay_key_epoch 0.0")
                .contains("verbenamast_relay_lease_left_seconds 0.0")
                .contains("verbenamast_relay_hold_left_seconds 0.0")
                .contains("verbenamast_relay_repeats_left 0.0")
                .contains("verbenamast_relay_log_lines_dropped_total 0.0")
                .contains("verbenamast_relay_manifest_version 0.0");
    }

    @Test
    void should_bound_the_number_of_series_when_there_are_very_many_routes() {
        // given
        RequestLog log = new RequestLog(Hop.ENTRY, counts);

        // when
        for (int i = 0; i < 5_000; i++) {
            log.recordEnd(RequestEnd.answered("" + i, "route-" + i, 1), NO_INPUTS);
        }

        // then
        assertThat(counts.ends()).hasSize(2_001);
    }
}
