package org.verbenamast.core.client.pipeline;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.chart.Chart;

import static org.assertj.core.api.Assertions.assertThat;

/** Requests that a caller sends behind one another on a connection. */
class PipelineTest {

    private static final Chart<PipelineEvent, PipelineData, PipelineInput> CHART = Pipeline.chart();
    private static final int LIMIT = 3;

    private final Pipeline pipeline = new Pipeline(CHART, LIMIT, 0);

    private boolean begin(boolean persistent, boolean last, boolean repeatable, long heldBytes, boolean stopping) {
        boolean begun = pipeline.begin(new PipelineInput(persistent, last, () -> repeatable, heldBytes, stopping), 0);
        if (begun) {
            pipeline.onBodyRead(0);
        }
        return begun;
    }

    private boolean beginRepeatable() {
        return begin(true, false, true, 0, false);
    }

    private boolean answerFirst(boolean stopping) {
        boolean closes = pipeline.beginAnswer(false, stopping, 0);
        pipeline.onAnswered(0);
        return closes;
    }

    @Test
    void should_begin_repeatable_requests_up_to_the_limit_when_earlier_ones_are_unanswered() {
        assertThat(beginRepeatable()).isTrue();
        assertThat(beginRepeatable()).isTrue();
        assertThat(beginRepeatable()).isTrue();
        assertThat(beginRepeatable()).isFalse();

        assertThat(answerFirst(false)).isFalse();
        assertThat(beginRepeatable()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"true, false, 0, false", "false, true, 0, false", "true, true, 1048577, false", "true, true, 0, true"})
    void should_begin_a_request_after_the_earlier_answers_when_it_may_not_run_ahead(
            boolean persistent, boolean repeatable, long heldBytes, boolean stopping) {
        // given
        beginRepeatable();

        // then
        assertThat(begin(persistent, false, repeatable, heldBytes, stopping)).isFalse();
        answerFirst(false);
        assertThat(begin(persistent, false, repeatable, heldBytes, stopping)).isTrue();
    }

    @Test
    void should_begin_nothing_behind_a_request_that_may_end_the_connection_by_its_answer() {
        begin(false, false, true, 0, false);
        assertThat(beginRepeatable()).isFalse();
    }

    @Test
    void should_read_nothing_behind_a_request_that_asks_for_the_end_of_the_connection() {
        // given
        beginRepeatable();
        begin(true, true, true, 0, false);

        // then
        assertThat(beginRepeatable()).isFalse();
        assertThat(pipeline.lastKnown()).isTrue();
        assertThat(answerFirst(false)).as("the first answer announces no end").isFalse();
        assertThat(answerFirst(false)).as("the last answer announces the end").isTrue();
        assertThat(pipeline.sendsNoMore()).isTrue();
        assertThat(beginRepeatable()).isFalse();
    }

    @Test
    void should_answer_all_begun_requests_and_begin_no_other_when_the_node_stops() {
        // given
        beginRepeatable();
        beginRepeatable();

        // then
        assertThat(begin(true, false, true, 0, true)).isFalse();
        assertThat(answerFirst(true)).isFalse();
        assertThat(begin(true, false, true, 0, true)).isFalse();
        assertThat(answerFirst(true)).isTrue();
        assertThat(pipeline.sendsNoMore()).isTrue();
        assertThat(begin(true, false, true, 0, true)).isFalse();
    }

    @Test
    void should_end_after_one_more_request_when_the_stop_finds_the_connection_idle() {
        assertThat(begin(true, false, false, 0, true)).isTrue();
        assertThat(begin(true, false, true, 0, true)).isFalse();
        assertThat(answerFirst(true)).isTrue();
        assertThat(pipeline.sendsNoMore()).isTrue();
    }

    @Test
    void should_receive_the_rest_of_the_last_body_before_it_ends() {
        // given
        pipeline.begin(new PipelineInput(true, true, () -> false, 0, false), 0);

        // when
        assertThat(answerFirst(false)).isTrue();
        assertThat(pipeline.sendsNoMore()).isFalse();
        pipeline.onBodyRead(0);

        // then
        assertThat(pipeline.sendsNoMore()).isTrue();
        pipeline.advance(TimeUnit.MILLISECONDS.toNanos(900));
        assertThat(pipeline.ended()).isFalse();
        pipeline.advance(TimeUnit.MILLISECONDS.toNanos(1_001));
        assertThat(pipeline.ended()).isTrue();
    }
}
