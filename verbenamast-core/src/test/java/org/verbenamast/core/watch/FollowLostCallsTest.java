package org.verbenamast.core.watch;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class FollowLostCallsTest extends FollowFixture {

    private final Map<Long, Long> madeAt = new HashMap<>();

    private void historyGone(FollowEffect.Await call) {
        controller.onCallEnded(
                call.table(), call.callId(), FollowEvent.HISTORY_GONE, FollowInput.NONE, now, effects::add);
    }

    /** The first call was lost; every later one is told at once that the history is gone. */
    @Test
    void should_read_all_rows_within_the_contact_time_when_the_history_is_gone_beside_a_lost_call() {
        // given
        startController();
        FollowEffect.Await lost = lastCall();

        // when
        long answered = lost.callId();
        long goneAt = 0;
        while (reads(FollowedTable.OPERATORS).size() < 2 && now < Timing.millisToNanos(20_000)) {
            runFor(100);
            controller.onVersions(new StoreVersions(9, 0, 7), now, effects::add);
            if (lastCall().callId() != answered) {
                goneAt = goneAt == 0 ? now : goneAt;
                answered = lastCall().callId();
                historyGone(lastCall());
            }
            if (now >= lost.timeoutMillis() * Timing.NANOS_PER_MILLI + Timing.millisToNanos(1_000)) {
                controller.onCallEnded(
                        lost.table(), lost.callId(), FollowEvent.FAILED, FollowInput.NONE, now, effects::add);
            }
        }

        // then
        assertThat((now - goneAt) / Timing.NANOS_PER_MILLI).isLessThan(CONTACT_MILLIS);
    }

    /** A full read resets the count of failures, so that the pause before the next one does not grow. */
    @Test
    void should_read_all_rows_less_and_less_often_when_the_history_is_gone_after_each_read() {
        // given
        startController();

        // when
        for (int tenMillis = 0; tenMillis < 1_000; tenMillis++) {
            if (calls(FollowedTable.OPERATORS).size()
                    == reads(FollowedTable.OPERATORS).size()) {
                historyGone(lastCall());
            }
            runFor(10);
            if (reads(FollowedTable.OPERATORS).size()
                    > calls(FollowedTable.OPERATORS).size()) {
                answerReads();
            }
        }

        // then: at most one each 600 ms, the maximum retry delay, after the first ones
        assertThat(reads(FollowedTable.OPERATORS)).hasSizeLessThan(25);
    }

    /** The answer to the last call lies unread in the socket of a process that has been frozen. */
    @Test
    void should_not_take_a_call_for_unanswered_when_the_node_has_been_frozen() {
        // given
        startController();
        long answeredAt = now;
        runFor(300);
        receiveSharedRow(8);
        runFor(5_100);
        assertThat(calls(FollowedTable.SHARED)).hasSize(2);

        // when
        now += Timing.millisToNanos(4_000);

        // then
        assertThat(controller.membersAsOf(now)).isEqualTo(answeredAt);
    }

    /** The store closed idle connections while the node was cut off, so that the first calls on each fail at once. */
    @Test
    void should_call_again_within_the_contact_time_when_calls_fail_at_once_beside_a_lost_call() {
        // given
        startController();
        FollowEffect.Await lost = lastCall();
        runFor(2_300);
        assertThat(lastCall().callId()).isNotEqualTo(lost.callId());

        // when: three calls in a row fail on arrival
        long firstFailedAt = now;
        for (int failed = 0; failed < 3; failed++) {
            FollowEffect.Await call = lastCall();
            controller.onCallEnded(
                    call.table(), call.callId(), FollowEvent.FAILED, FollowInput.NONE, now, effects::add);
            while (lastCall().callId() == call.callId()) {
                runFor(10);
                controller.onVersions(new StoreVersions(9, 0, 7), now, effects::add);
            }
        }

        // then
        assertThat((now - firstFailedAt) / Timing.NANOS_PER_MILLI).isLessThan(CONTACT_MILLIS);
    }

    /** Each answer begins 4.5 s after its call, so that each call is cancelled before it is answered. */
    @Test
    void should_catch_up_when_every_answer_begins_later_than_two_calls_are_apart() {
        // given
        startController();

        // when
        for (int tenth = 0; tenth < 600 && controller.version(FollowedTable.OPERATORS) < 9; tenth++) {
            runFor(100);
            controller.onVersions(new StoreVersions(9, 0, 7), now, effects::add);
            for (FollowEffect.Await call : calls(FollowedTable.OPERATORS)) {
                if (now - madeAt(call) >= Timing.millisToNanos(4_500)) {
                    controller.onCallEnded(
                            call.table(),
                            call.callId(),
                            FollowEvent.CHANGED,
                            FollowInput.ofAnswer(9, 9, false),
                            now,
                            effects::add);
                }
            }
        }

        // then
        assertThat(controller.version(FollowedTable.OPERATORS)).isEqualTo(9);
    }

    private long madeAt(FollowEffect.Await call) {
        return madeAt.computeIfAbsent(call.callId(), id -> now);
    }
}
