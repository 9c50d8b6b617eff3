package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.membership.Rows;
import org.verbenamast.core.model.SliceId;

import static org.assertj.core.api.Assertions.assertThat;

class SliceLoadsTest {

    private static final int SLICES = 64;
    private static final int RATE_PER_SLICE = 15;
    private static final int HOT_RATE = 300;
    private static final int MAX_LOAD_CHANGES = 7;
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final Random random = new Random(20_261_204);
    private final SliceLoads loads = new SliceLoads(member -> SLICES);
    private long now;

    private static SliceId slice(int number) {
        return new SliceId(Rows.STOCK.name(), number);
    }

    private void startMeasuring() {
        IntStream.range(0, SLICES).forEach(slice -> loads.startMeasuring(slice(slice), now));
    }

    /** Advances the time by a second in which slices get random requests, on average as many as their rates say. */
    private void simulateSecond(int hotRate) {
        int requests = RATE_PER_SLICE * SLICES + hotRate;
        for (int i = 0; i < requests; i++) {
            boolean hot = random.nextInt(requests) < hotRate;
            loads.recordRequest(slice(hot ? 0 : random.nextInt(SLICES)), now);
            now += SECOND_NANOS / requests;
        }
    }

    private int load(int slice, int before) {
        return loads.updatedLoad(slice(slice), before, loads.meanSliceRate(now), now);
    }

    @Test
    void should_change_no_load_when_rates_differ_only_by_noise() {
        startMeasuring();
        for (int i = 0; i < 300; i++) {
            simulateSecond(0);
            assertThat(IntStream.range(0, SLICES).map(slice -> load(slice, 1))).containsOnly(1);
        }
    }

    @Test
    void should_settle_on_the_load_of_a_hot_slice_when_its_requests_continue() {
        startMeasuring();
        int load = 1;
        int changes = 0;
        for (int i = 0; i < 300; i++) {
            simulateSecond(HOT_RATE);
            int next = load(0, load);
            changes += next == load ? 0 : 1;
            load = next;
        }
        assertThat(load).isBetween(10, 20);
        assertThat(changes).isLessThanOrEqualTo(MAX_LOAD_CHANGES);
    }

    @Test
    void should_keep_the_load_of_a_new_slice_until_it_is_measured() {
        startMeasuring();
        for (int i = 0; i < 15; i++) {
            simulateSecond(0);
            assertThat(load(0, 40)).isEqualTo(40);
        }
        for (int i = 0; i < 10; i++) {
            simulateSecond(0);
        }
        assertThat(load(0, 40)).isEqualTo(1);
    }

    @Test
    void should_include_the_reports_of_other_members_when_the_mean_is_estimated() {
        startMeasuring();
        for (int i = 0; i < 60; i++) {
            simulateSecond(0);
        }
        loads.onRateReport(Rows.member(1), RATE_PER_SLICE * SLICES * 3.0, now);
        assertThat(loads.meanSliceRate(now)).isBetween(RATE_PER_SLICE * 1.9, RATE_PER_SLICE * 2.1);
        now += 31 * SECOND_NANOS;
        loads.onRateReport(Rows.member(2), 0, now);
        assertThat(loads.meanSliceRate(now)).isLessThan(RATE_PER_SLICE);
    }
}
