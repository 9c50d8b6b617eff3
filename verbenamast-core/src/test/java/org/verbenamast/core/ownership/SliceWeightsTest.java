package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.membership.Rows;
import org.verbenamast.core.model.SliceId;

import static org.assertj.core.api.Assertions.assertThat;

class SliceWeightsTest {

    private static final int SLICES = 64;
    private static final int RATE = 15;
    private static final int HOT_RATE = 300;
    private static final int HEAT_STEPS = 7;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final Random random = new Random(20_261_204);
    private final SliceWeights heats = new SliceWeights(member -> SLICES);
    private long now;

    private static SliceId slice(int number) {
        return new SliceId(Rows.STOCK.name(), number);
    }

    private void begin() {
        IntStream.range(0, SLICES).forEach(slice -> heats.begin(slice(slice), now));
    }

    /** Lets a second pass in which each slice gets requests at random, as many as its rate on average. */
    private void second(int hotRate) {
        int requests = RATE * SLICES + hotRate;
        for (int i = 0; i < requests; i++) {
            boolean hot = random.nextInt(requests) < hotRate;
            heats.count(slice(hot ? 0 : random.nextInt(SLICES)), now);
            now += SECOND / requests;
        }
    }

    private int heat(int slice, int before) {
        return heats.heat(slice(slice), before, heats.mean(now), now);
    }

    @Test
    void should_change_no_heat_when_rates_differ_by_noise_alone() {
        begin();
        for (int i = 0; i < 300; i++) {
            second(0);
            assertThat(IntStream.range(0, SLICES).map(slice -> heat(slice, 1))).containsOnly(1);
        }
    }

    @Test
    void should_settle_on_the_heat_of_a_hot_slice_when_its_requests_go_on() {
        begin();
        int heat = 1;
        int changes = 0;
        for (int i = 0; i < 300; i++) {
            second(HOT_RATE);
            int next = heat(0, heat);
            changes += next == heat ? 0 : 1;
            heat = next;
        }
        assertThat(heat).isBetween(10, 20);
        assertThat(changes).isLessThanOrEqualTo(HEAT_STEPS);
    }

    @Test
    void should_keep_the_heat_of_a_slice_that_has_just_come_until_it_is_measured() {
        begin();
        for (int i = 0; i < 15; i++) {
            second(0);
            assertThat(heat(0, 40)).isEqualTo(40);
        }
        for (int i = 0; i < 10; i++) {
            second(0);
        }
        assertThat(heat(0, 40)).isEqualTo(1);
    }

    @Test
    void should_count_what_other_members_say_when_the_mean_is_estimated() {
        begin();
        for (int i = 0; i < 60; i++) {
            second(0);
        }
        heats.heard(Rows.member(1), RATE * SLICES * 3.0, now);
        assertThat(heats.mean(now)).isBetween(RATE * 1.9, RATE * 2.1);
        now += 31 * SECOND;
        heats.heard(Rows.member(2), 0, now);
        assertThat(heats.mean(now)).isLessThan(RATE);
    }
}
