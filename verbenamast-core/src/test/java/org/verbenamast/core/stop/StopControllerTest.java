package org.verbenamast.core.stop;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class StopControllerTest {

    private static final long START = Timing.millisToNanos(1_000);
    private static final long STEP_MILLIS = 100;

    private final StopController controller = new StopController(TransitionListener.NONE);
    private final List<String> happened = new ArrayList<>();

    /** Runs the stop in steps, and notes each effect with its time after the signal, in milliseconds. */
    private void run(long graceMillis, long idleFromMillis) {
        controller.stop(graceMillis, START, effect -> note(0, effect));
        for (long at = 0; at <= graceMillis; at += STEP_MILLIS) {
            long millis = at;
            controller.advance(at >= idleFromMillis, START + Timing.millisToNanos(at), effect -> note(millis, effect));
        }
    }

    private void note(long millis, Effect effect) {
        happened.add(millis + " " + effect);
    }

    @Test
    void should_do_nothing_when_no_stop_is_planned() {
        controller.advance(true, START, effect -> note(0, effect));
        assertThat(happened).isEmpty();
        assertThat(controller.isStopping()).isFalse();
        assertThat(controller.answersUntil()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against requests that a stopping node took late and cut off at its exit, without an answer. */
    @ParameterizedTest
    @CsvSource({"6000, 2600, 5200, 5400", "10000, 2600, 9200, 9400", "3000, 1500, 2200, 2400", "2000, 1000, 1200, 1400"
    })
    void should_answer_every_request_before_the_exit_when_some_stay_open(
            long graceMillis, long refusesAt, long answersAt, long exitsAt) {
        // when
        run(graceMillis, Long.MAX_VALUE);

        // then
        assertThat(happened).containsExactly(refusesAt + " REFUSE_NEW", answersAt + " ANSWER_OPEN", exitsAt + " EXIT");
    }

    @Test
    void should_exit_as_soon_as_nothing_is_open_when_no_more_requests_are_taken() {
        run(6_000, 0);
        assertThat(happened).containsExactly("2600 REFUSE_NEW", "2600 EXIT");
    }

    @Test
    void should_exit_at_once_when_the_last_answers_are_sent() {
        run(6_000, 5_300);
        assertThat(happened).containsExactly("2600 REFUSE_NEW", "5200 ANSWER_OPEN", "5300 EXIT");
    }

    @Test
    void should_exit_before_it_is_killed_when_the_grace_period_is_shorter_than_its_margins() {
        run(500, Long.MAX_VALUE);
        assertThat(happened).containsExactly("0 REFUSE_NEW", "0 ANSWER_OPEN", "0 EXIT");
    }

    @Test
    void should_bound_the_time_of_requests_when_the_stop_has_begun() {
        // when
        controller.stop(6_000, START, effect -> {});
        controller.stop(60_000, START + STEP_MILLIS, effect -> {});

        // then
        assertThat(controller.isStopping()).isTrue();
        assertThat(controller.answersUntil()).isEqualTo(START + Timing.millisToNanos(5_200));
    }
}
