package org.verbenamast.core.chart;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.file.ChartReader;

import static org.assertj.core.api.Assertions.assertThat;

class ChartInstancesTest {

    private static final int CREATED_INSTANCES = 100_000;
    private static final int LIVE_INSTANCES = 100;
    // One more instance is live between its creation and the end of the oldest: 2 * (LIVE_INSTANCES + 1) + 64.
    private static final int MAX_QUEUED_DEADLINES = 2 * LIVE_INSTANCES + 66;
    private static final String DOOR = """
            {"chart": "door", "about": "a door", "initial": "CLOSED", "states": [
              {"name": "CLOSED", "about": "a", "starts": ["OPEN_TIMEOUT"], "on": [
                {"event": "OPEN", "to": "EXPIRED"},
                {"event": "TIMED_OUT", "to": "EXPIRED"}]},
              {"name": "EXPIRED", "about": "a", "last": true, "cancels": ["OPEN_TIMEOUT"]}
            ]}
            """;

    private final List<Integer> timedOut = new ArrayList<>();
    private final ChartInstances<Integer, DoorChart.Event, Integer, Boolean> doors = new ChartInstances<>(
            ChartReader
                    .<DoorChart.Event, DoorChart.Condition, DoorChart.Step, DoorChart.Timer, DoorChart.Tag, Integer,
                            Boolean>
                            read("door", DOOR, DoorChart.VOCABULARY)
                    .get(),
            event -> true,
            (chart, subject, event, transition, now) -> {
                if (event == DoorChart.Event.TIMED_OUT) {
                    timedOut.add((Integer) subject);
                }
            });

    @Test
    void should_bound_the_deadline_queue_when_instances_end_before_their_timers_are_due() {
        int maxQueued = 0;
        for (int i = 0; i < CREATED_INSTANCES; i++) {
            doors.begin(i, 0, 0);
            doors.fire(i - LIVE_INSTANCES, DoorChart.Event.OPEN, true, 0, effect -> {});
            maxQueued = Math.max(maxQueued, doors.queuedDeadlines());
        }
        assertThat(doors.size()).isEqualTo(LIVE_INSTANCES);
        assertThat(maxQueued).isLessThanOrEqualTo(MAX_QUEUED_DEADLINES);
    }

    @Test
    void should_fire_each_timer_once_and_in_order_when_stale_deadlines_were_dropped() {
        for (int i = 0; i < CREATED_INSTANCES; i++) {
            doors.begin(i, 0, i);
            if (i % 1_000 != 0) {
                doors.fire(i, DoorChart.Event.OPEN, true, i, effect -> {});
            }
        }
        assertThat(doors.nextDue()).isLessThan(CREATED_INSTANCES);
        doors.advance(2L * CREATED_INSTANCES, effect -> {});
        assertThat(timedOut)
                .hasSize(CREATED_INSTANCES / 1_000)
                .doesNotHaveDuplicates()
                .isSorted();
        assertThat(doors.size()).isZero();
    }
}
