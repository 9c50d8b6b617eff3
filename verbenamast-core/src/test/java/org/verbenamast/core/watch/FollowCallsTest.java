package org.verbenamast.core.watch;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls that are replaced, cancelled, answered late or answered while others are pending. */
class FollowCallsTest extends FollowFixture {

    /** Guards against answers with the same rows that share a link. */
    @Test
    void should_cancel_the_other_call_when_an_answer_begins_to_arrive() {
        // given
        startController();
        FollowEffect.Await replaced = lastCall();
        runWhileReceiving(12, tenth -> new StoreVersions(9, 0, 7));
        FollowEffect.Await second = lastCall();
        assertThat(second.callId()).isGreaterThan(replaced.callId());

        // when
        arrive(replaced);

        // then
        assertThat(cancelledCalls()).containsExactly(second.callId());
        assertThat(answer(second, 9)).isFalse();
        assertThat(answer(replaced, 9)).isTrue();
    }

    /** Guards against a call that starts over while the answer to the one before arrives. */
    @Test
    void should_make_no_call_while_an_answer_arrives_when_others_know_more() {
        // given
        startController();
        runFor(1_500);
        arrive(lastCall());

        // when
        runWhileReceiving(100, tenth -> new StoreVersions(9, 0, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(1);
    }

    /** Guards against two further calls for each wait of a replaced one that ends. */
    @Test
    void should_keep_the_call_that_replaced_another_one_when_that_ends_without_rows() {
        // given
        startController();
        FollowEffect.Await replaced = lastCall();
        runUntilNextCall();
        FollowEffect.Await second = lastCall();

        // when
        FollowInput empty = FollowInput.ofAnswer(9, 0, true);
        controller.onCallEnded(replaced.table(), replaced.callId(), FollowEvent.CHANGED, empty, now, effects::add);

        // then
        assertThat(cancelledCalls()).isEmpty();
        assertThat(lastCall().callId()).isEqualTo(second.callId());
        assertThat(answer(second, 10)).isTrue();
    }

    @Test
    void should_have_at_most_two_calls_pending_when_none_is_answered() {
        // given
        startController();

        // when
        runFor(60_000);

        // then
        int made = calls(FollowedTable.OPERATORS).size();
        assertThat(made).isGreaterThan(10);
        assertThat(cancelledCalls()).hasSize(made - 2);
    }

    @Test
    void should_pause_for_as_long_as_the_answer_took_when_changes_follow_one_another() {
        // given
        startController();
        runFor(1_500);
        FollowEffect.Await call = lastCall();
        arrive(call);
        runFor(300);
        answer(call, 9);

        // when
        runWhileReceiving(2, tenth -> new StoreVersions(11, 0, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(1);
        runFor(150);
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(2);
        assertThat(lastCall().afterVersion()).isEqualTo(9);
    }

    @Test
    void should_keep_the_pending_call_when_the_one_that_it_replaced_fails() {
        // given
        startController();
        FollowEffect.Await replaced = lastCall();
        runFor(2_300);
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(2);

        // when
        controller.onCallEnded(
                replaced.table(), replaced.callId(), FollowEvent.FAILED, FollowInput.NONE, now, effects::add);
        runFor(1_000);

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(2);
        assertThat(answer(lastCall(), 9)).isTrue();
    }

    /** Guards against a node that was frozen and tells others that it has just been answered. */
    @Test
    void should_report_the_time_of_its_call_when_it_reads_the_answer_late() {
        // given
        startController();
        runFor(2_000);
        FollowEffect.Await call = lastCall();
        now += Timing.millisToNanos(5_000);

        // when
        answer(call, 9);

        // then
        assertThat(controller.versions(now).operatorsAgeMillis()).isEqualTo(7_000);
    }

    @Test
    void should_report_the_end_of_the_wait_when_an_answer_without_rows_is_read_late() {
        // given
        startController();
        FollowEffect.Await call = lastCall();
        now += Timing.millisToNanos(call.waitMillis() + 5_000);

        // when
        FollowInput nothing = FollowInput.ofAnswer(7, 0, true);
        controller.onCallEnded(call.table(), call.callId(), FollowEvent.CHANGED, nothing, now, effects::add);

        // then
        assertThat(controller.versions(now).operatorsAgeMillis()).isEqualTo(5_000);
    }

    /** Guards against a node that receives every version it missed, which takes longer than new ones come. */
    @Test
    void should_read_the_table_when_the_changes_since_its_version_are_longer() {
        // given
        startController();
        runFor(1_500);
        FollowEffect.Await call = lastCall();

        // when
        controller.onCallEnded(call.table(), call.callId(), FollowEvent.OVERSIZED, FollowInput.NONE, now, effects::add);
        answerReads();

        // then
        assertThat(reads(FollowedTable.OPERATORS)).hasSize(2);
        assertThat(lastCall().callId()).isGreaterThan(call.callId());
        assertThat(lastCall().maxBytes()).isGreaterThan(0);
    }

    /** Guards against a store that reads from a replica behind its history and is asked again without end. */
    @Test
    void should_pause_between_reads_when_the_history_is_gone_each_time() {
        // given
        startController();

        // when
        for (int tenMillis = 0; tenMillis < 20; tenMillis++) {
            FollowEffect.Await call = lastCall();
            controller.onCallEnded(
                    call.table(), call.callId(), FollowEvent.HISTORY_GONE, FollowInput.NONE, now, effects::add);
            runFor(10);
            answerReads();
        }

        // then
        assertThat(reads(FollowedTable.OPERATORS)).hasSizeLessThan(4);
    }
}
