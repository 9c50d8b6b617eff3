package org.verbenamast.core.chart.file;

import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.DoorChart;

import static org.assertj.core.api.Assertions.assertThat;

class ChartReaderTest {

    private static final String CLOSED_STATE =
            "{'name': 'CLOSED', 'about': 'a', 'on': [{'event': 'OPEN', 'to': 'OPENED'}]}";
    private static final String OPENED_STATE = "{'name': 'OPENED', 'about': 'a', 'last': true}";

    private static Either<List<ChartFault>, Chart<DoorChart.Event, Integer, Boolean>> read(String... states) {
        String json =
                "{'chart': 'door', 'about': 'a', 'initial': 'CLOSED', 'states': [" + String.join(",", states) + "]}";
        return ChartReader.read("door", json.replace('\'', '"'), DoorChart.VOCABULARY);
    }

    private static void assertFault(ChartFaultKind kind, String expectedText, String... states) {
        Either<List<ChartFault>, ?> read = read(states);
        assertThat(read.isLeft()).as("the chart is rejected").isTrue();
        assertThat(read.getLeft()).anySatisfy(fault -> {
            assertThat(fault.kind()).isEqualTo(kind);
            assertThat(fault.message()).contains(expectedText);
        });
    }

    @Test
    void should_load_a_valid_chart() {
        assertThat(read(CLOSED_STATE, OPENED_STATE).isRight()).isTrue();
    }

    @Test
    void should_reject_when_the_text_is_not_a_chart() {
        Either<List<ChartFault>, ?> read = ChartReader.read("door", "{", DoorChart.VOCABULARY);
        assertThat(read.getLeft()).singleElement().satisfies(fault -> assertThat(fault.kind())
                .isEqualTo(ChartFaultKind.MALFORMED));
    }

    @Test
    void should_reject_when_an_event_is_unknown() {
        String closed = CLOSED_STATE.replace("'OPEN'", "'NO_EVENT'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "names <NO_EVENT>", closed, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_guard_is_unknown() {
        String closed = CLOSED_STATE.replace("'to'", "'when': 'NO_GUARD', 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "guard, but names <NO_GUARD>", closed, OPENED_STATE);
    }

    @Test
    void should_reject_when_an_action_is_unknown() {
        String closed = CLOSED_STATE.replace("'to'", "'actions': ['NO_ACTION'], 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "action, but names <NO_ACTION>", closed, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_target_state_is_unknown() {
        assertFault(ChartFaultKind.UNKNOWN_NAME, "state, but names <OPENED>", CLOSED_STATE);
    }

    @Test
    void should_reject_when_a_state_is_declared_twice() {
        assertFault(ChartFaultKind.DUPLICATE_STATE, "CLOSED", CLOSED_STATE, CLOSED_STATE, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_state_is_unreachable() {
        String isolated = "{'name': 'ISOLATED', 'about': 'a', 'last': true}";
        assertFault(ChartFaultKind.UNREACHABLE_STATE, "ISOLATED", CLOSED_STATE, OPENED_STATE, isolated);
    }

    @Test
    void should_reject_when_a_non_final_state_has_no_exit() {
        String opened = "{'name': 'OPENED', 'about': 'a', 'on': [{'event': 'CLOSE', 'to': 'OPENED'}]}";
        assertFault(ChartFaultKind.DEAD_END, "OPENED", CLOSED_STATE, opened);
    }

    @Test
    void should_reject_when_a_final_state_has_a_transition() {
        String opened = "{'name': 'OPENED', 'about': 'a', 'last': true, 'on': [{'event': 'CLOSE', 'to': 'CLOSED'}]}";
        assertFault(ChartFaultKind.FINAL_STATE_GOES_ON, "OPENED", CLOSED_STATE, opened);
    }

    @Test
    void should_reject_when_two_unguarded_transitions_handle_an_event() {
        String closed = "{'name': 'CLOSED', 'about': 'a',"
                + " 'on': [{'event': 'OPEN', 'to': 'OPENED'}, {'event': 'OPEN', 'to': 'CLOSED'}]}";
        assertFault(ChartFaultKind.AMBIGUOUS_EVENT, "transition on OPEN after", closed, OPENED_STATE);
    }

    @Test
    void should_reject_when_nothing_cancels_a_timer() {
        String closed = CLOSED_STATE.replace("'on'", "'starts': ['OPEN_TIMEOUT'], 'on'");
        assertFault(ChartFaultKind.UNCANCELLED_TIMER, "OPEN_TIMEOUT", closed, OPENED_STATE);
    }

    @Test
    void should_load_when_the_next_state_cancels_the_timer() {
        String closed = CLOSED_STATE
                .replace("'on'", "'starts': ['OPEN_TIMEOUT'], 'on'")
                .replace("[{", "[{'event': 'TIMED_OUT', 'to': 'OPENED'}, {");
        String opened = OPENED_STATE.replace("'last'", "'cancels': ['OPEN_TIMEOUT'], 'last'");
        assertThat(read(closed, opened).isRight()).isTrue();
    }
}
