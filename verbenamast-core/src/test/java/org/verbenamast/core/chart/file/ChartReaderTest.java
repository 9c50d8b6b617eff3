package org.verbenamast.core.chart.file;

import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.DoorChart;

import static org.assertj.core.api.Assertions.assertThat;

class ChartReaderTest {

    private static final String SHUT_STATE = "{'name': 'SHUT', 'about': 'a', 'on': [{'event': 'OPEN', 'to': 'WIDE'}]}";
    private static final String WIDE_STATE = "{'name': 'WIDE', 'about': 'a', 'last': true}";

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
    void should_load_when_all_is_well() {
        assertThat(read(SHUT_STATE, WIDE_STATE).isRight()).isTrue();
    }

    @Test
    void should_refuse_when_the_text_is_no_chart() {
        Either<List<ChartFault>, ?> read = ChartReader.read("door", "{", DoorChart.VOCABULARY);
        assertThat(read.getLeft()).singleElement().satisfies(fault -> assertThat(fault.kind())
                .isEqualTo(ChartFaultKind.MALFORMED));
    }

    @Test
    void should_refuse_when_an_event_is_unknown() {
        String shut = SHUT_STATE.replace("'OPEN'", "'KNOCK'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "names <KNOCK>", shut, WIDE_STATE);
    }

    @Test
    void should_refuse_when_a_guard_is_unknown() {
        String shut = SHUT_STATE.replace("'to'", "'when': 'LUCKY', 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "guard, but names <LUCKY>", shut, WIDE_STATE);
    }

    @Test
    void should_refuse_when_an_action_is_unknown() {
        String shut = SHUT_STATE.replace("'to'", "'actions': ['SING'], 'to'");
        assertFault(ChartFaultKind.UNKNOWN_NAME, "action, but names <SING>", shut, WIDE_STATE);
    }

    @Test
    void should_refuse_when_a_target_state_is_unknown() {
        assertFault(ChartFaultKind.UNKNOWN_NAME, "state, but names <WIDE>", SHUT_STATE);
    }

    @Test
    void should_refuse_when_a_state_is_described_twice() {
        assertFault(ChartFaultKind.DUPLICATE_STATE, "SHUT", SHUT_STATE, SHUT_STATE, WIDE_STATE);
    }

    @Test
    void should_refuse_when_a_state_is_unreachable() {
        String alone = "{'name': 'ALONE', 'about': 'a', 'last': true}";
        assertFault(ChartFaultKind.UNREACHABLE_STATE, "ALONE", SHUT_STATE, WIDE_STATE, alone);
    }

    @Test
    void should_refuse_when_a_state_has_no_way_out() {
        String wide = "{'name': 'WIDE', 'about': 'a', 'on': [{'event': 'CLOSE', 'to': 'WIDE'}]}";
        assertFault(ChartFaultKind.DEAD_END, "WIDE", SHUT_STATE, wide);
    }

    @Test
    void should_refuse_when_a_last_state_goes_on() {
        String wide = "{'name': 'WIDE', 'about': 'a', 'last': true, 'on': [{'event': 'CLOSE', 'to': 'SHUT'}]}";
        assertFault(ChartFaultKind.FINAL_STATE_GOES_ON, "WIDE", SHUT_STATE, wide);
    }

    @Test
    void should_refuse_when_two_unguarded_transitions_take_an_event() {
        String shut = "{'name': 'SHUT', 'about': 'a',"
                + " 'on': [{'event': 'OPEN', 'to': 'WIDE'}, {'event': 'OPEN', 'to': 'SHUT'}]}";
        assertFault(ChartFaultKind.AMBIGUOUS_EVENT, "OPEN", shut, WIDE_STATE);
    }

    @Test
    void should_refuse_when_nothing_cancels_a_timer() {
        String shut = SHUT_STATE.replace("'on'", "'starts': ['PATIENCE'], 'on'");
        assertFault(ChartFaultKind.UNCANCELLED_TIMER, "PATIENCE", shut, WIDE_STATE);
    }

    @Test
    void should_load_when_the_next_state_cancels_the_timer() {
        String shut = SHUT_STATE
                .replace("'on'", "'starts': ['PATIENCE'], 'on'")
                .replace("[{", "[{'event': 'LATE', 'to': 'WIDE'}, {");
        String wide = WIDE_STATE.replace("'last'", "'cancels': ['PATIENCE'], 'last'");
        assertThat(read(shut, wide).isRight()).isTrue();
    }
}
