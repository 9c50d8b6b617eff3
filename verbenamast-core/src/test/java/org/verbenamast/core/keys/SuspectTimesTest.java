package org.verbenamast.core.keys;

import java.util.Set;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.ServerIncarnation;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectTimesTest {

    private static final ServerIncarnation OWNER = new ServerIncarnation("server", 1);

    private final SuspectTimes times = new SuspectTimes();

    private long lostAt(long millis, boolean here) {
        return times.lostFor(OWNER, here, Timing.millisToNanos(millis));
    }

    @Test
    void should_count_an_owner_as_lost_all_along_when_its_host_is_probed_now_and_then() {
        // given
        lostAt(1_000, false);

        // when
        for (long millis = 1_250; millis < 12_000; millis += 250) {
            boolean aboutToBeProbed = millis % 2_000 < 500;
            lostAt(millis, aboutToBeProbed);
        }

        // then
        assertThat(lostAt(12_000, false)).isEqualTo(Timing.millisToNanos(11_000));
    }

    @Test
    void should_count_an_owner_as_back_when_it_has_been_there_for_a_while() {
        // given
        lostAt(1_000, false);
        lostAt(2_000, true);

        // then
        assertThat(lostAt(3_000, true)).isPositive();
        assertThat(lostAt(3_500, true)).isZero();
        assertThat(lostAt(4_000, false)).isZero();
    }

    @Test
    void should_count_an_owner_as_here_when_it_was_never_lost() {
        assertThat(lostAt(1_000, true)).isZero();
        assertThat(lostAt(9_000, true)).isZero();
    }

    @Test
    void should_begin_anew_when_an_owner_was_forgotten() {
        // given
        lostAt(1_000, false);

        // when
        times.retain(Set.of());

        // then
        assertThat(lostAt(5_000, false)).isZero();
    }
}
