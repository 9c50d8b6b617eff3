package org.verbenamast.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LossTest {

    private static final long STARTUP_NANOS = VirtualNode.millisToNanos(5_000);
    private static final long RECOVERY_LIMIT_NANOS = VirtualNode.millisToNanos(4_000);
    private static final long OUTAGE_NANOS = VirtualNode.millisToNanos(60_000);
    private static final int KILLS = 20;
    private static final int SLICES = 8;

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 4, 8})
    void should_serve_again_within_four_seconds_when_an_owner_is_killed(int size) {
        List<Long> times = new ArrayList<>();
        for (int seed = 0; seed < KILLS; seed++) {
            VirtualFleet fleet = new VirtualFleet(seed, size, SLICES);
            fleet.runUntil(STARTUP_NANOS + VirtualNode.millisToNanos(seed * 37L));
            fleet.killPermanently(fleet.nodes.get(0));
            long from = fleet.now();
            assertThat(fleet.runUntilServed(from + RECOVERY_LIMIT_NANOS))
                    .as(fleet::trace)
                    .isTrue();
            times.add((fleet.now() - from) / VirtualNode.millisToNanos(1));
        }
        Collections.sort(times);
        System.out.printf(
                "served again after a kill, %d nodes: min %d, median %d, max %d ms%n",
                size, times.get(0), times.get(KILLS / 2), times.get(KILLS - 1));
    }

    @Test
    void should_keep_serving_and_change_no_owner_when_the_table_service_is_down() {
        VirtualFleet fleet = new VirtualFleet(1, 4, SLICES);
        fleet.runUntil(STARTUP_NANOS);
        List<Long> epochs = fleet.epochs();
        fleet.links.storeDown = true;
        for (long at = STARTUP_NANOS; at < STARTUP_NANOS + OUTAGE_NANOS; at += VirtualNode.millisToNanos(10)) {
            fleet.runUntil(at);
            assertThat(fleet.allServed()).as(fleet::trace).isTrue();
        }
        assertThat(fleet.epochs()).isEqualTo(epochs);
    }

    @Test
    void should_not_serve_after_a_pause_until_lease_peers_grant_a_lease_again() {
        VirtualFleet fleet = new VirtualFleet(1, 4, SLICES);
        fleet.runUntil(STARTUP_NANOS);
        VirtualNode node = fleet.nodes.get(0);
        assertThat(fleet.serves(0)).isTrue();
        fleet.links.storeDown = true;
        fleet.pause(node, 1_000);
        fleet.runUntil(STARTUP_NANOS + VirtualNode.millisToNanos(1_000));
        assertThat(fleet.serves(0))
                .as("served right after a pause, although it was shorter than the lease")
                .isFalse();
        fleet.runUntil(STARTUP_NANOS + VirtualNode.millisToNanos(1_050));
        assertThat(fleet.serves(0))
                .as("served after the lease peers granted a lease again")
                .isTrue();
    }

    @Test
    void should_serve_again_when_a_whole_zone_is_killed() {
        VirtualFleet fleet = new VirtualFleet(1, 9, SLICES);
        fleet.runUntil(STARTUP_NANOS);
        for (int index = 0; index < 9; index += 3) {
            fleet.killPermanently(fleet.nodes.get(index));
        }
        assertThat(fleet.runUntilServed(STARTUP_NANOS + RECOVERY_LIMIT_NANOS))
                .as(fleet::trace)
                .isTrue();
    }
}
