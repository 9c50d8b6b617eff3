package org.verbenamast.core.watch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.watch.OperatorRow.ZoneRow;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorTableTest {

    private static final Zone ZONE = new Zone("amman-a");

    private final FollowController controller = new FollowController(() -> 0.99, TransitionListener.NONE);
    private long now = Timing.millisToNanos(1_000);
    private long lastCall;
    private OperatorTable table = OperatorTable.EMPTY;

    private void execute(Effect effect) {
        if (effect instanceof FollowEffect.ReadAll read && read.table() == FollowedTable.OPERATORS) {
            lastCall = read.callId();
        } else if (effect instanceof FollowEffect.Await await && await.table() == FollowedTable.OPERATORS) {
            lastCall = await.callId();
        }
    }

    /** Ends a call and applies its rows if the controller accepts the answer, as a node does. */
    private void answer(long callId, FollowEvent event, long version, OperatorRow... rows) {
        FollowInput input = FollowInput.ofAnswer(version, version, rows.length == 0);
        FollowResult result = new FollowResult(FollowedTable.OPERATORS, callId, event, input);
        long held = controller.version(FollowedTable.OPERATORS);
        if (controller.onCallEnded(result, now, this::execute)) {
            table = table.withAnswer(result, List.of(rows), held);
        }
    }

    private void start(long version, OperatorRow... rows) {
        controller.start(now, this::execute);
        answer(lastCall, FollowEvent.READ, version, rows);
    }

    /** Lets another node's newer row replace the pending call, and returns the call that was replaced. */
    private long replacePendingCall() {
        long replaced = lastCall;
        controller.onVersions(new StoreVersions(1_000, 0, 0), now, this::execute);
        now += Timing.millisToNanos(1_500);
        controller.advance(now, this::execute);
        assertThat(lastCall).isGreaterThan(replaced);
        return replaced;
    }

    @Test
    void should_keep_a_zone_in_service_when_an_earlier_call_is_answered_late() {
        // given
        start(3);
        long earlier = replacePendingCall();
        answer(lastCall, FollowEvent.CHANGED, 8, new ZoneRow(5, ZONE, true), new ZoneRow(8, ZONE, false));

        // when
        answer(earlier, FollowEvent.CHANGED, 5, new ZoneRow(5, ZONE, true));

        // then
        assertThat(table.evacuatedZones()).isEmpty();
    }

    @Test
    void should_keep_a_zone_out_when_rows_that_were_known_before_come_once_more() {
        // given
        start(9, new ZoneRow(7, ZONE, true));

        // when
        answer(lastCall, FollowEvent.CHANGED, 10, new ZoneRow(4, ZONE, false));

        // then
        assertThat(table.evacuatedZones()).containsExactly(ZONE);
    }

    @Test
    void should_keep_known_rows_when_a_full_read_is_older() {
        // given
        start(3);
        answer(lastCall, FollowEvent.CHANGED, 12, new ZoneRow(12, ZONE, true));
        answer(lastCall, FollowEvent.HISTORY_GONE, 0);
        now += Timing.millisToNanos(200);
        controller.advance(now, this::execute);

        // when
        answer(lastCall, FollowEvent.READ, 9);

        // then
        assertThat(table.evacuatedZones()).containsExactly(ZONE);
        assertThat(controller.version(FollowedTable.OPERATORS)).isEqualTo(12);
    }

    @Test
    void should_take_a_zone_back_into_service_when_a_full_read_lacks_its_row() {
        // given
        start(3);
        answer(lastCall, FollowEvent.CHANGED, 12, new ZoneRow(12, ZONE, true));
        answer(lastCall, FollowEvent.HISTORY_GONE, 0);
        now += Timing.millisToNanos(200);
        controller.advance(now, this::execute);

        // when
        answer(lastCall, FollowEvent.READ, 15);

        // then
        assertThat(table.evacuatedZones()).isEmpty();
    }

    /** Guards against rows that are applied without their version, so that the next call asks for them anew. */
    @Test
    void should_hold_the_version_of_each_row_that_it_applies_when_a_replaced_call_is_answered() {
        // given
        start(3);
        long replaced = replacePendingCall();

        // when
        answer(replaced, FollowEvent.CHANGED, 5, new ZoneRow(5, ZONE, true));

        // then
        assertThat(table.evacuatedZones()).containsExactly(ZONE);
        assertThat(controller.version(FollowedTable.OPERATORS)).isEqualTo(5);
    }
}
