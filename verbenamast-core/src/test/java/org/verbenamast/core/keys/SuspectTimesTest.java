package org.verbenamast.core.keys;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectTimesTest {

    private static final ServerIncarnation OWNER = new ServerIncarnation("server", 1);

    private final SuspectTimes times = new SuspectTimes();

    private long unreachableNanosAt(long millis, boolean reachable) {
        return times.unreachableNanos(OWNER, reachable, Timing.millisToNanos(millis));
    }

    @Test
    void should_count_an_owner_as_unreachable_throughout_when_its_host_is_probed_periodically() {
        // given
        unreachableNanosAt(1_000, false);

        // when
        for (long millis = 1_250; millis < 12_000; millis += 250) {
            boolean aboutToBeProbed = millis % 2_000 < 500;
            unreachableNanosAt(millis, aboutToBeProbed);
        }

        // then
        assertThat(unreachableNanosAt(12_000, false)).isEqualTo(Timing.millisToNanos(11_000));
    }

    @Test
    void should_count_an_owner_as_recovered_after_the_recovery_delay() {
        // given
        unreachableNanosAt(1_000, false);
        unreachableNanosAt(2_000, true);

        // then
        assertThat(unreachableNanosAt(3_000, true)).isPositive();
        assertThat(unreachableNanosAt(3_500, true)).isZero();
        assertThat(unreachableNanosAt(4_000, false)).isZero();
    }

    @Test
    void should_count_an_owner_as_reachable_when_it_was_never_unreachable() {
        assertThat(unreachableNanosAt(1_000, true)).isZero();
        assertThat(unreachableNanosAt(9_000, true)).isZero();
    }

    @Test
    void should_restart_the_measurement_when_an_owner_was_removed() {
        // given
        unreachableNanosAt(1_000, false);

        // when
        times.retain(Set.of());

        // then
        assertThat(unreachableNanosAt(5_000, false)).isZero();
    }
}
