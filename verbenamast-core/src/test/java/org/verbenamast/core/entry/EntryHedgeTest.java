package org.verbenamast.core.entry;

import java.util.OptionalInt;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

/** A second attempt beside one that takes longer than most. */
class EntryHedgeTest extends EntryFixture {

    private static final AdmissionLoad FULL = new AdmissionLoad(9, 0, 9, 50, false, false);
    private static final AdmissionLoad COLD = new AdmissionLoad(0, 0, 9, 50, true, false);
    /** Answers after which the latency of the route is known, and hedges and repeats are paid for. */
    private static final int KNOWN = 40;

    @BeforeEach
    void hedge() {
        hedgesPerMille(100);
        join("one");
        join("two");
    }

    /** Has both members answer in 10 ms, and report their load. */
    private void learn(AdmissionLoad load) {
        for (int i = 0; i < KNOWN; i++) {
            long id = open(RequestKind.SAFE, OptionalInt.empty());
            now += Timing.millisToNanos(10);
            controller.onAnswer(id, 1, false, load, now, effects::add);
            controller.onDelivered(id, now, effects::add);
        }
        for (int i = 0; i < 2; i++) {
            long id = open(RequestKind.SAFE, OptionalInt.empty());
            controller.onRefused(id, 1, Refusal.FULL, 0, load, now, effects::add);
            controller.onAnswer(id, 2, false, load, now, effects::add);
            controller.onDelivered(id, now, effects::add);
        }
        effects.clear();
    }

    private long openLate(RequestKind kind, OptionalInt key) {
        long id = open(kind, key);
        pass(100);
        return id;
    }

    private void pass(long millis) {
        now += Timing.millisToNanos(millis);
        controller.advance(now, effects::add);
    }

    private EntryEffect.OpenAttempt hedgeOf(long id) {
        return effects.stream()
                .filter(effect ->
                        effect instanceof EntryEffect.OpenAttempt attempt && attempt.id() == id && attempt.hedge())
                .map(EntryEffect.OpenAttempt.class::cast)
                .findFirst()
                .orElse(null);
    }

    @Test
    void should_send_one_hedge_to_another_member_when_the_first_attempt_is_late() {
        // given
        learn(IDLE);

        // when
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());
        pass(100);

        // then
        assertThat(hedgeOf(id).number()).isEqualTo(2);
        assertThat(nodesAsked()).containsExactlyInAnyOrder("one", "two");
    }

    @Test
    void should_deliver_the_first_good_answer_and_withdraw_the_other_attempt() {
        // given
        learn(IDLE);
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onAnswer(id, 1, false, IDLE, now, effects::add);

        // then
        assertThat(effects).endsWith(new EntryEffect.Keep(id, 1), new EntryEffect.Deliver(id));
    }

    @Test
    void should_deliver_the_answer_of_the_hedge_when_the_first_answer_is_lost() {
        // given
        learn(IDLE);
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onBroken(id, 1, true, now, effects::add);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Keep(id, 2));
        controller.onAnswer(id, 2, false, IDLE, now, effects::add);

        // then
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Deliver(id));
    }

    @Test
    void should_deliver_the_second_failure_when_both_answers_are_bad() {
        // given
        learn(IDLE);
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onAnswer(id, 2, true, IDLE, now, effects::add);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Keep(id, 1));
        controller.onAnswer(id, 1, true, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).as("the route allows two sends").hasSize(2);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Deliver(id));
    }

    @Test
    void should_go_on_with_the_first_attempt_when_the_hedge_is_refused() {
        // given
        learn(IDLE);
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onRefused(id, 2, Refusal.FULL, 0, FULL, now, effects::add);
        controller.onAnswer(id, 1, false, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(2);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Deliver(id));
    }

    @Test
    void should_withdraw_both_attempts_when_the_caller_is_gone() {
        // given
        learn(IDLE);
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onCallerGone(id, now, effects::add);

        // then
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Withdraw(id));
        assertThat(controller.isIdle()).isTrue();
    }

    @Test
    void should_not_hedge_what_may_run_once_or_has_one_owner() {
        // given
        learn(IDLE);
        assignAllKeysTo(join("one"));

        // when
        long unsafe = openLate(RequestKind.UNSAFE, OptionalInt.empty());
        long keyed = openLate(RequestKind.SAFE, OptionalInt.of(7));
        long large = openLate(RequestKind.DOWNLOAD, OptionalInt.empty());

        // then
        assertThat(hedgeOf(unsafe)).isNull();
        assertThat(hedgeOf(keyed)).isNull();
        assertThat(hedgeOf(large)).isNull();
    }

    @Test
    void should_not_hedge_at_a_full_or_cold_server() {
        for (AdmissionLoad load : new AdmissionLoad[] {FULL, COLD}) {
            // given
            learn(load);

            // when
            long id = openLate(RequestKind.SAFE, OptionalInt.empty());

            // then
            assertThat(hedgeOf(id)).as("%s", load).isNull();
        }
    }

    @Test
    void should_not_hedge_in_the_last_part_of_the_time() {
        // given
        learn(IDLE);
        long id = open(RequestKind.SAFE, OptionalInt.empty());

        // when
        pass(700);

        // then
        assertThat(hedgeOf(id)).as("300 of 1,000 ms are left").isNull();
    }

    @Test
    void should_leave_the_budget_to_a_repeat_that_is_needed() {
        // given
        learn(IDLE);
        long failed = open(RequestKind.SAFE, OptionalInt.empty());
        controller.onBroken(failed, 1, false, now, effects::add);
        controller.onAnswer(failed, 2, false, IDLE, now, effects::add);

        // when
        long id = openLate(RequestKind.SAFE, OptionalInt.empty());

        // then
        assertThat(hedgeOf(id)).as("the budget is not full").isNull();
        controller.onBroken(id, 1, false, now, effects::add);
        assertThat(nodesAsked()).as("the repeat is sent").hasSize(4);
    }

    @Test
    void should_send_no_more_hedges_than_configured() {
        // given
        hedgesPerMille(20);
        learn(IDLE);

        // when
        int hedges = 0;
        for (int i = 0; i < 500; i++) {
            long id = openLate(RequestKind.SAFE, OptionalInt.empty());
            hedges += hedgeOf(id) == null ? 0 : 1;
            controller.onAnswer(id, 1, false, IDLE, now, effects::add);
            controller.onDelivered(id, now, effects::add);
            now += Timing.millisToNanos(10);
            learnOne();
        }

        // then
        assertThat(hedges).isBetween(1, (500 + 500 + KNOWN + 2) * 20 / 1_000);
    }

    private void learnOne() {
        long id = open(RequestKind.SAFE, OptionalInt.empty());
        controller.onAnswer(id, 1, false, IDLE, now, effects::add);
        controller.onDelivered(id, now, effects::add);
    }
}
