package org.verbenamast.core.chart.file;

import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.DoorChart;

import static org.assertj.core.api.Assertions.assertThat;

class ChartReaderTest {

    private static final String CLOSED_STATE =
            "{'name': 'SHUT', 'about': 'a', 'on': [{'event': 'OPEN', 'to': 'WIDE'}]}";
    private static final String OPENED_STATE = "{'name': 'WIDE', 'about': 'a', 'last': true}";

    private static Either<List<ChartFault>, Chart<DoorChart.Event, Integer, Boolean>> read(String... states) {
        String json =
                "{'chart': 'door', 'about': 'a', 'initial': 'SHUT', 'states': [" + String.join(",", states) + "]}";
        return ChartReader.read("door", json.replace('\'', '"'), DoorChart.VOCABULARY);
    }

    private static void assertFault(ChartFaultKind kind, String words, String... states) {
        Either<List<ChartFault>, ?> read = read(states);
        assertThat(read.isLeft()).as("faults are found").isTrue();
        assertThat(read.getLeft()).anySatisfy(fault -> {
            assertThat(fault.kind()).isEqualTo(kind);
            assertThat(fault.message()).contains(words);
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
        String shut = CLOSED_STATE.replace("'OPEN'", "'KNOCK'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "names <KNOCK>", shut, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_guard_is_unknown() {
        String shut = CLOSED_STATE.replace("'to'", "'when': 'LUCKY', 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "guard, but names <LUCKY>", shut, OPENED_STATE);
    }

    @Test
    void should_reject_when_an_action_is_unknown() {
        String shut = CLOSED_STATE.replace("'to'", "'actions': ['SING'], 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "action, but names <SING>", shut, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_target_state_is_unknown() {
        assertFault(ChartFaultKind.UNKNOWN_NAME, "state, but names <WIDE>", CLOSED_STATE);
    }

    @Test
    void should_reject_when_a_state_is_declared_twice() {
        assertFault(ChartFaultKind.DUPLICATE_STATE, "SHUT", CLOSED_STATE, CLOSED_STATE, OPENED_STATE);
    }

    @Test
    void should_reject_when_a_state_is_unreachable() {
        String alone = "{'name': 'ALONE', 'about': 'a', 'last': true}";
        assertFault(ChartFaultKind.UNREACHABLE_STATE, "ALONE", CLOSED_STATE, OPENED_STATE, alone);
    }

    @Test
    void should_reject_when_a_non_final_state_has_no_exit() {
        String wide = "{'name': 'WIDE', 'about': 'a', 'on': [{'event': 'CLOSE', 'to': 'WIDE'}]}";
        assertFault(ChartFaultKind.DEAD_END, "WIDE", CLOSED_STATE, wide);
    }

    @Test
    void should_reject_when_a_final_state_has_a_transition() {
        String wide = "{'name': 'WIDE', 'about': 'a', 'last': true, 'on': [{'event': 'CLOSE', 'to': 'SHUT'}]}";
        assertFault(ChartFaultKind.FINAL_STATE_GOES_ON, "WIDE", CLOSED_STATE, wide);
    }

    @Test
    void should_reject_when_two_unguarded_transitions_handle_an_event() {
        String shut = "{'name': 'SHUT', 'about': 'a',"
                + " 'on': [{'event': 'OPEN', 'to': 'WIDE'}, {'event': 'OPEN', 'to': 'SHUT'}]}";
        assertFault(ChartFaultKind.AMBIGUOUS_EVENT, "OPEN", shut, OPENED_STATE);
    }

    @Test
    void should_reject_when_nothing_cancels_a_timer() {
        String shut = CLOSED_STATE.replace("'on'", "'starts': ['PATIENCE'], 'on'");
        assertFault(ChartFaultKind.UNCANCELLED_TIMER, "PATIENCE", shut, OPENED_STATE);
    }

    @Test
    void should_load_when_the_next_state_cancels_the_timer() {
        String shut = CLOSED_STATE
                .replace("'on'", "'starts': ['PATIENCE'], 'on'")
                .replace("[{", "[{'event': 'LATE', 'to': 'WIDE'}, {");
        String wide = OPENED_STATE.replace("'last'", "'cancels': ['PATIENCE'], 'last'");
        assertThat(read(shut, wide).isRight()).isTrue();
    }
}
