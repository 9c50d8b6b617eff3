package org.verbenamast.core.watch;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class FollowControllerTest extends FollowFixture {

    @Test
    void should_repeat_a_call_within_the_contact_time_when_the_call_was_lost_as_an_impairment_ended() {
        // given
        startController();
        for (int lostCalls = 0; lostCalls < 10; lostCalls++) {
            runUntilNextCall();
        }

        // when
        long impairmentEnded = now;
        runUntilNextCall();

        // then
        assertThat(now - impairmentEnded).isLessThan(Timing.millisToNanos(CONTACT_MILLIS));
    }

    @Test
    void should_repeat_a_call_within_the_contact_time_when_the_store_answers_no_node() {
        // given
        startController();
        runFor(400);

        // when
        runWhileReceiving((int) CONTACT_MILLIS / 100, tenth -> new StoreVersions(7, 400 + tenth * 100, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeGreaterThan(1);
    }

    @Test
    void should_leave_its_call_pending_when_the_store_answers_other_nodes() {
        // given
        startController();

        // when
        runWhileReceiving(70, tenth -> new StoreVersions(7, 300, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(1);
    }

    /** Guards against an old manifest that counts as current since the messages of others were on their way. */
    @Test
    void should_make_its_call_within_the_contact_time_when_versions_of_others_arrive_late() {
        // given
        startController();
        runFor(5_000);
        long askedAt = now - Timing.millisToNanos(5_000);
        int before = effects.size();

        // when
        for (int tenth = 0; tenth < 25; tenth++) {
            runFor(100);
            controller.onVersions(new StoreVersions(7, 0, 7), now, effects::add);
            controller.onAnsweredVersions(new StoreVersions(7, 0, 7), askedAt, now, effects::add);
        }

        // then
        assertThat(effects.size()).isGreaterThan(before);
    }

    @Test
    void should_ignore_an_answer_to_another_node_when_that_node_knows_less() {
        // given
        startController();

        // when
        runWhileReceiving(30, tenth -> new StoreVersions(6, 0, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeGreaterThan(1);
    }

    @Test
    void should_make_a_call_at_once_when_another_node_knows_a_newer_manifest_and_the_pending_call_is_not_answered() {
        // given
        startController();
        runFor(1_500);

        // when
        receiveVersions(8, 0, 7);
        runFor(350);

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(2);
        assertThat(lastCall().afterVersion()).isEqualTo(7);
    }

    /** Guards against a node that never catches up: each call asks for all rows anew and is replaced before it ends. */
    @Test
    void should_ask_only_for_newer_rows_when_the_answer_to_a_replaced_call_has_brought_some() {
        // given
        startController();
        FollowEffect.Await replaced = lastCall();
        runWhileReceiving(12, tenth -> new StoreVersions(9, 0, 7));
        assertThat(lastCall().callId()).isGreaterThan(replaced.callId());

        // when
        FollowInput rows = FollowInput.ofAnswer(9, 9, false);
        controller.onCallEnded(
                FollowedTable.OPERATORS, replaced.callId(), FollowEvent.CHANGED, rows, now, effects::add);
        int before = calls(FollowedTable.OPERATORS).size();
        runWhileReceiving(25, tenth -> new StoreVersions(12, 0, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeGreaterThan(before);
        assertThat(lastCall().afterVersion()).isEqualTo(9);
    }

    @Test
    void should_make_no_call_when_the_row_that_another_node_knew_has_arrived() {
        // given
        startController();

        // when
        receiveVersions(7, 0, 9);
        runFor(50);
        controller.onRowsReceived(FollowedTable.SHARED, 9, now, effects::add);
        runFor(500);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);
    }

    @Test
    void should_end_the_delay_after_a_change_when_another_node_knows_a_newer_row() {
        // given
        startController();
        receiveSharedRow(9);
        runFor(1_000);
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);

        // when
        receiveVersions(7, 0, 11);
        runFor(350);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(2);
    }

    @Test
    void should_wait_for_the_full_delay_when_a_row_that_another_node_knew_has_soon_arrived() {
        // given
        startController();
        receiveSharedRow(9);
        runFor(1_000);

        // when
        receiveVersions(7, 0, 11);
        controller.onRowsReceived(FollowedTable.SHARED, 11, now, effects::add);
        runFor(FollowedTable.SHARED.batchDelayMillis() - 1_100);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);
        runFor(200);
        assertThat(calls(FollowedTable.SHARED)).hasSize(2);
    }

    @Test
    void should_report_only_its_own_last_answer_when_the_store_answered_others_later() {
        // given
        startController();
        runFor(600);

        // when
        receiveVersions(7, 100, 7);

        // then
        assertThat(controller.versions(now)).isEqualTo(new StoreVersions(7, 600, 7));
    }

    @Test
    void should_consider_versions_relevant_only_when_they_change_something() {
        // given
        startController();
        runFor(600);
        receiveVersions(7, 100, 7);

        // then
        assertThat(controller.isRelevant(new StoreVersions(7, 100, 7), now)).isFalse();
        assertThat(controller.isRelevant(new StoreVersions(7, 300, 7), now)).isFalse();
        assertThat(controller.isRelevant(new StoreVersions(6, 0, 7), now)).isFalse();
        assertThat(controller.isRelevant(StoreVersions.NONE, now)).isFalse();
        assertThat(controller.isRelevant(new StoreVersions(7, 99, 7), now)).isTrue();
        assertThat(controller.isRelevant(new StoreVersions(8, 300, 7), now)).isTrue();
        assertThat(controller.isRelevant(new StoreVersions(7, 300, 8), now)).isTrue();
    }

    @Test
    void should_report_no_versions_when_the_store_has_not_answered_yet() {
        controller.start(now, effects::add);

        assertThat(controller.versions(now)).isEqualTo(StoreVersions.NONE);
    }

    @Test
    void should_make_one_call_per_second_when_others_know_more_and_no_call_is_answered() {
        // given
        startController();
        runFor(2_000);

        // when
        for (int tenth = 0; tenth < 50; tenth++) {
            receiveVersions(8, 0, 7);
            runFor(100);
        }

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeBetween(4, 7);
    }

    @Test
    void should_know_the_members_as_of_the_last_answer_or_of_a_call_that_waits() {
        // given
        assertThat(controller.membersAsOf(now)).isZero();
        startController();
        assertThat(controller.membersAsOf(now)).isEqualTo(now);

        // when
        long answeredAt = now;
        runFor(300);
        receiveSharedRow(8);

        // then: until the next call, which follows after a pause, as of the call that was answered
        long changedAt = now;
        assertThat(controller.membersAsOf(now)).isEqualTo(answeredAt).isLessThan(changedAt);
        runFor(4_900);
        assertThat(controller.membersAsOf(now)).isEqualTo(answeredAt);
        runFor(300);
        assertThat(controller.membersAsOf(now)).isEqualTo(answeredAt);

        // then: a call that the store has left waiting shows that it knows nothing newer
        runFor(500);
        assertThat(controller.membersAsOf(now)).isEqualTo(changedAt + Timing.millisToNanos(5_000));

        // then: one that failed shows nothing
        long callId = lastCall(FollowedTable.SHARED).callId();
        controller.onCallEnded(FollowedTable.SHARED, callId, FollowEvent.FAILED, FollowInput.NONE, now, effects::add);
        assertThat(controller.membersAsOf(now)).isEqualTo(answeredAt);
    }
}
