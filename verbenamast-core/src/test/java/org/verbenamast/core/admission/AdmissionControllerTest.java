package org.verbenamast.core.admission;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionControllerTest extends AdmissionFixture {

    @Test
    void should_run_no_more_than_the_slots_when_many_requests_arrive() {
        // given
        setServer(2, 0, 0, 0);

        // when
        long first = open(1, 500, OptionalInt.empty());
        long second = open(1, 500, OptionalInt.empty());
        long third = open(1, 500, OptionalInt.empty());

        // then
        assertThat(dispatched()).containsExactly(first, second);
        controller.onFinished(first, ServerOutcome.ANSWERED, now, effects::add);
        assertThat(dispatched()).containsExactly(first, second, third);
    }

    @Test
    void should_dispatch_the_most_urgent_first_when_a_slot_becomes_free() {
        // given
        setServer(1, 0, 0, 0);
        long running = open(1, 500, OptionalInt.empty());
        open(2, 500, OptionalInt.empty());
        long urgent = open(0, 500, OptionalInt.empty());

        // when
        controller.onFinished(running, ServerOutcome.ANSWERED, now, effects::add);

        // then
        assertThat(dispatched()).containsExactly(running, urgent);
    }

    @Test
    void should_prefer_a_request_that_can_meet_its_objective_when_another_is_late_already() {
        // given
        setServer(1, 0, 0, 0);
        long running = open(1, 500, OptionalInt.empty());
        open(1, 10, OptionalInt.empty());
        long inTime = open(1, 800, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(50);
        controller.onFinished(running, ServerOutcome.ANSWERED, now, effects::add);

        // then
        assertThat(dispatched()).containsExactly(running, inTime);
    }

    @Test
    void should_dispatch_a_short_request_first_when_its_objective_is_missed_already() {
        // given
        setServer(1, 0, 0, 0);
        for (int i = 0; i < 40; i++) {
            run("short", 10);
            run("long", 200);
        }
        long running = open("long", 1, 500, OptionalInt.empty());
        open("long", 1, 3_000, OptionalInt.empty());
        long shortRequest = open("short", 1, 20, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(90);
        controller.onFinished(running, ServerOutcome.ANSWERED, now, effects::add);

        // then
        assertThat(dispatched()).endsWith(running, shortRequest);
    }

    private void run(String route, long millis) {
        long id = open(route, 1, 500, OptionalInt.empty());
        now += Timing.millisToNanos(millis);
        controller.onFinished(id, ServerOutcome.ANSWERED, now, effects::add);
    }

    @Test
    void should_dispatch_no_more_in_a_second_than_a_cold_server_accepts() {
        // given
        setServer(9, 3_000, 4, 0);

        // when
        for (int i = 0; i < 8; i++) {
            open(1, 1_900, OptionalInt.empty());
            now += Timing.millisToNanos(20);
        }

        // then
        assertThat(dispatched()).hasSize(4);
    }

    @Test
    void should_refuse_keys_that_are_not_granted_to_the_server() {
        // given
        setServer(9, 0, 0, 0);

        // when
        long granted = open(1, 500, OptionalInt.of(7));
        long other = open(1, 500, OptionalInt.of(700));

        // then
        assertThat(dispatched()).containsExactly(granted);
        assertThat(refusalOf(other)).isEqualTo(Refusal.NOT_OWNER);
    }

    @Test
    void should_dispatch_waiting_requests_in_one_go_when_their_key_is_granted() {
        // given
        rules.expectedBelow = 200;
        setServer(2, 0, 0, 0);
        long first = open(1, 500, OptionalInt.of(150));
        long second = open(1, 500, OptionalInt.of(150));
        long third = open(1, 500, OptionalInt.of(150));
        assertThat(effects).isEmpty();

        // when
        now += Timing.millisToNanos(400);
        rules.grantedBelow = 200;
        controller.advance(now, effects::add);

        // then
        assertThat(dispatched()).containsExactly(first, second);
        controller.onFinished(first, ServerOutcome.ANSWERED, now, effects::add);
        assertThat(dispatched()).containsExactly(first, second, third);
    }

    @Test
    void should_refuse_a_request_when_its_key_is_not_granted_within_a_heartbeat() {
        // given
        rules.expectedBelow = 200;
        setServer(2, 0, 0, 0);
        long waiting = open(1, 500, OptionalInt.of(150));

        // when
        now += Timing.millisToNanos(899);
        controller.advance(now, effects::add);
        assertThat(refusalOf(waiting)).isNull();
        now = controller.nextDue();
        controller.advance(now, effects::add);

        // then
        assertThat(refusalOf(waiting)).isEqualTo(Refusal.NOT_OWNER);
        assertThat(controller.isIdle()).isTrue();
    }

    @Test
    void should_refuse_a_waiting_request_at_once_when_its_key_is_no_longer_expected() {
        // given
        rules.expectedBelow = 200;
        setServer(2, 0, 0, 0);
        long waiting = open(1, 500, OptionalInt.of(150));

        // when
        rules.expectedBelow = 100;
        controller.advance(now, effects::add);

        // then
        assertThat(refusalOf(waiting)).isEqualTo(Refusal.NOT_OWNER);
    }

    @Test
    void should_serve_only_granted_keys_until_the_drain_ends_when_the_server_leaves() {
        // given
        setServer(9, 0, 0, now + Timing.millisToNanos(1_800));

        // when
        long unkeyed = open(1, 500, OptionalInt.empty());
        long keyed = open(1, 500, OptionalInt.of(7));
        now += Timing.millisToNanos(1_800);
        long late = open(1, 500, OptionalInt.of(7));

        // then
        assertThat(refusalOf(unkeyed)).isEqualTo(Refusal.LEAVING);
        assertThat(dispatched()).containsExactly(keyed);
        assertThat(refusalOf(late)).isEqualTo(Refusal.LEAVING);
    }

    @Test
    void should_refuse_waiting_requests_when_the_zone_is_evacuated() {
        // given
        setServer(1, 0, 0, 0);
        open(1, 500, OptionalInt.empty());
        long waiting = open(1, 500, OptionalInt.empty());
        long keyed = open(1, 500, OptionalInt.of(7));

        // when
        rules.evacuated = true;
        setServer(1, 0, 0, 0);

        // then
        assertThat(refusalOf(waiting)).isEqualTo(Refusal.EVACUATED);
        assertThat(refusalOf(keyed)).isNull();
    }

    @Test
    void should_finish_running_requests_and_refuse_new_ones_when_closed() {
        // given
        setServer(9, 0, 0, 0);
        long running = open(1, 500, OptionalInt.of(7));

        // when
        controller.close(now, effects::add);
        long late = open(1, 500, OptionalInt.of(7));

        // then
        assertThat(refusalOf(late)).isEqualTo(Refusal.STOPPING);
        assertThat(effects).noneMatch(effect -> effect instanceof AdmissionEffect.Cancel);
        assertThat(controller.isIdle()).isFalse();
        controller.onFinished(running, ServerOutcome.ANSWERED, now, effects::add);
        assertThat(controller.isIdle()).isTrue();
    }

    @Test
    void should_refuse_a_waiting_request_as_soon_as_the_server_could_not_answer_in_time() {
        // given
        setServer(1, 0, 0, 0);
        for (int i = 0; i < 40; i++) {
            run("long", 400);
        }
        open("long", 1, 500, OptionalInt.empty());
        long waiting = open("long", 1, 500, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(1_650);
        controller.advance(now, effects::add);

        // then
        assertThat(refusalOf(waiting)).isEqualTo(Refusal.TOO_LATE);
    }

    @Test
    void should_cancel_a_running_request_when_the_sender_withdraws_it() {
        // given
        setServer(9, 0, 0, 0);
        long running = open(1, 500, OptionalInt.empty());

        // when
        controller.onWithdrawn(running, now, effects::add);

        // then
        assertThat(effects).contains(new AdmissionEffect.Cancel(running));
    }

    @Test
    void should_report_a_running_request_as_overdue_when_its_deadline_passes() {
        // given
        setServer(9, 0, 0, 0);
        long running = open(1, 500, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(2_001);
        controller.advance(now, effects::add);

        // then
        assertThat(effects).contains(new AdmissionEffect.CancelOverdue(running));
    }
}
