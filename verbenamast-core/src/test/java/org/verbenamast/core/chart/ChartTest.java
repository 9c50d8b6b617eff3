package org.verbenamast.core.chart;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.StopReason;

import static org.assertj.core.api.Assertions.assertThat;

class ChartTest {

    private static final String DOOR = """
            {"chart": "door", "about": "a door", "initial": "CLOSED", "states": [
              {"name": "CLOSED", "about": "a", "starts": ["OPEN_TIMEOUT"], "on": [
                {"event": "OPEN", "when": "ALLOWED", "to": "OPENED", "actions": ["COUNT", "REPORT"]},
                {"event": "OPEN", "actions": ["COUNT"]},
                {"event": "TIMED_OUT", "to": "EXPIRED"}]},
              {"name": "OPENED", "about": "a", "tags": ["PASSABLE"], "cancels": ["OPEN_TIMEOUT"], "on": [
                {"event": "CLOSE", "to": "CLOSED"}]},
              {"name": "EXPIRED", "about": "a", "last": true}
            ]}
            """;

    private final Chart<DoorChart.Event, Integer, Boolean> chart = ChartReader
            .<DoorChart.Event, DoorChart.Condition, DoorChart.Step, DoorChart.Timer, DoorChart.Tag, Integer, Boolean>
                    read("door", DOOR, DoorChart.VOCABULARY)
            .get();
    private final List<Effect> effects = new ArrayList<>();

    @Test
    void should_run_actions_in_order_when_the_guard_permits() {
        Instance<Integer> opened = chart.fire(chart.begin(0, 0), DoorChart.Event.OPEN, true, 1, effects::add);
        assertThat(opened.hasTag(DoorChart.Tag.PASSABLE)).isTrue();
        assertThat(opened.data()).isEqualTo(1);
        assertThat(effects).containsExactly(new Effect.StopProcess(StopReason.ASKED));
    }

    @Test
    void should_take_the_next_transition_when_the_guard_does_not_permit() {
        Instance<Integer> closed = chart.fire(chart.begin(0, 0), DoorChart.Event.OPEN, false, 1, effects::add);
        assertThat(closed.state().name()).isEqualTo("CLOSED");
        assertThat(closed.data()).isEqualTo(1);
    }

    @Test
    void should_change_nothing_when_the_state_does_not_handle_the_event() {
        Instance<Integer> closed = chart.begin(0, 0);
        assertThat(chart.fire(closed, DoorChart.Event.CLOSE, true, 1, effects::add))
                .isSameAs(closed);
    }

    @Test
    void should_keep_the_timer_when_the_state_is_not_left() {
        Instance<Integer> closed = chart.fire(chart.begin(0, 0), DoorChart.Event.OPEN, false, 5, effects::add);
        assertThat(closed.deadlines().earliest()).isEqualTo(10);
    }

    @Test
    void should_fire_the_timer_when_it_is_due() {
        ChartInstances<String, DoorChart.Event, Integer, Boolean> doors =
                new ChartInstances<>(chart, event -> false, TransitionListener.NONE);
        doors.begin("front", 0, 0);
        doors.advance(9, effects::add);
        assertThat(doors.find("front")).isNotNull();
        doors.advance(10, effects::add);
        assertThat(doors.find("front")).as("a final state removes the instance").isNull();
    }

    @Test
    void should_not_fire_the_timer_when_it_was_cancelled() {
        ChartInstances<String, DoorChart.Event, Integer, Boolean> doors =
                new ChartInstances<>(chart, event -> false, TransitionListener.NONE);
        doors.begin("front", 0, 0);
        doors.fire("front", DoorChart.Event.OPEN, true, 1, effects::add);
        doors.advance(100, effects::add);
        assertThat(doors.find("front").hasTag(DoorChart.Tag.PASSABLE)).isTrue();
    }
}
