package org.verbenamast.core.measure;

import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.gate.limit.RampSettings;

import static org.assertj.core.api.Assertions.assertThat;

class RampMeasureTest {

    private static final long NEVER_MILLIS = 1_000_000;
    private static final long HALF_WAY_MILLIS = 10_000;
    private static final int SLOTS = 10;

    @Test
    void should_never_load_a_cold_server_above_its_capacity_when_it_announces_itself() {
        RampBench.Result without = measure("first announced", RampSettings.NONE, NEVER_MILLIS, false);
        RampBench.Result with = measure("first announced", RampSettings.DEFAULT, NEVER_MILLIS, false);
        assertThat(without.peakExcess()).isPositive();
        assertThat(with.peakExcess()).isZero();
        assertThat(with.limitAtEnd()).isEqualTo(SLOTS);
        assertThat(with.peakRunning()).isLessThanOrEqualTo(SLOTS);
    }

    @Test
    void should_never_load_a_server_above_its_cold_capacity_when_it_restarts() {
        RampBench.Result without = measure("new start id", RampSettings.NONE, HALF_WAY_MILLIS, true);
        RampBench.Result with = measure("new start id", RampSettings.DEFAULT, HALF_WAY_MILLIS, true);
        assertThat(with.startsOverCapacity()).isZero();
        assertThat(without.startsOverCapacity()).isPositive();
    }

    @Test
    void should_lower_the_limit_soon_when_a_server_becomes_cold_without_notice() {
        RampBench.Result without = measure("without notice", RampSettings.NONE, HALF_WAY_MILLIS, false);
        RampBench.Result with = measure("without notice", RampSettings.DEFAULT, HALF_WAY_MILLIS, false);
        assertThat(with.startsOverCapacity()).isLessThan(without.startsOverCapacity());
        assertThat(with.limitAtEnd()).isEqualTo(SLOTS);
    }

    private static RampBench.Result measure(
            String cause, RampSettings settings, long coldAgainMillis, boolean restarts) {
        RampBench.Result result = RampBench.measure(settings, coldAgainMillis, restarts);
        System.out.printf(
                Locale.ROOT,
                "cold (%s), %s: peak %d, peak above capacity %d, started above capacity %d, answered %d, limit %d%n",
                cause,
                settings == RampSettings.NONE ? "no ramp" : "ramp",
                result.peakRunning(),
                result.peakExcess(),
                result.startsOverCapacity(),
                result.answered(),
                result.limitAtEnd());
        return result;
    }
}
