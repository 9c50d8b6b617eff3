package org.verbenamast.core.entry;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.gate.crash.CrashReport;
import org.verbenamast.core.gate.crash.CrashReports;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.keys.KeyRange;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;

import static org.assertj.core.api.Assertions.assertThat;

class EntryControllerTest extends EntryFixture {

    @Test
    void should_ask_another_node_when_the_first_one_is_full() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        controller.onRefused(id, 0, Refusal.FULL, 100, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactlyInAnyOrder("one", "two");
    }

    @Test
    void should_not_resend_when_an_unsafe_request_may_have_run() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        controller.onBroken(id, 0, true, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(1);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_resend_once_when_the_connection_breaks_under_a_safe_request() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.SAFE, OptionalInt.empty());

        // when
        controller.onBroken(id, 0, true, now, effects::add);
        controller.onBroken(id, 0, true, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactlyInAnyOrder("one", "two");
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_ask_the_new_owner_at_once_when_a_key_that_was_moving_has_arrived() {
        // given
        Member one = join("one");
        Member two = join("two");
        KeyMap moving =
                KeyMap.vacant(SERVICE).move(KeyRange.ALL, one.incarnation()).move(KeyRange.ALL, two.incarnation());
        putKeys(moving, 1);
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        controller.onRefused(id, 0, Refusal.NOT_OWNER, 0, IDLE, now, effects::add);
        assertThat(nodesAsked()).containsExactly("one");

        // when
        controller.onOwnersChanged(SERVICE, now, effects::add);
        assertThat(nodesAsked()).containsExactly("one");
        putKeys(moving.release(KeyRange.ALL, one.incarnation(), "token"), 2);
        controller.onOwnersChanged(SERVICE, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactly("one", "two");
    }

    @Test
    void should_ask_the_owner_again_at_once_when_a_move_away_from_it_was_undone() {
        // given
        Member one = join("one");
        Member two = join("two");
        KeyMap owned = KeyMap.vacant(SERVICE).move(KeyRange.ALL, one.incarnation());
        putKeys(owned.move(KeyRange.ALL, two.incarnation()), 1);
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        controller.onRefused(id, 0, Refusal.NOT_OWNER, 0, IDLE, now, effects::add);

        // when
        putKeys(owned, 2);
        controller.onOwnersChanged(SERVICE, now, effects::add);

        // then
        assertThat(nodesAsked()).containsExactly("one", "one");
    }

    @Test
    void should_ask_at_most_four_times_when_no_row_names_a_new_owner() {
        // given
        assignAllKeysTo(join("one"));
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        long end = now + Timing.millisToNanos(1_000);

        // when
        while (now < end && !(lastEffect() instanceof EntryEffect.Refuse)) {
            if (lastEffect() instanceof EntryEffect.OpenAttempt) {
                controller.onRefused(id, 0, Refusal.NOT_OWNER, 0, IDLE, now, effects::add);
            }
            now += Timing.millisToNanos(20);
            controller.advance(now, effects::add);
        }

        // then
        assertThat(nodesAsked()).hasSizeBetween(2, 4);
        assertThat(lastEffect()).isInstanceOfSatisfying(EntryEffect.Refuse.class, refuse -> assertThat(refuse.reason())
                .isEqualTo(Refusal.NOT_OWNER));
    }

    @Test
    void should_treat_the_owner_as_unreachable_when_another_host_answers_at_its_address() {
        // given
        Member owner = join("one");
        assignAllKeysTo(owner);

        // when
        for (int i = 0; i < 2; i++) {
            long id = open(RequestKind.SAFE, OptionalInt.of(7));
            controller.onRefused(id, 0, Refusal.WRONG_SERVER, 0, IDLE, now, effects::add);
        }

        // then
        assertThat(controller.isReachable(owner)).isFalse();
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        assertThat(lastEffect()).isInstanceOfSatisfying(EntryEffect.Refuse.class, refuse -> assertThat(refuse.id())
                .isEqualTo(id));
    }

    @Test
    void should_fail_the_request_at_once_when_its_deadline_passes() {
        // given
        join("one");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());

        // when
        now += Timing.millisToNanos(1_001);
        controller.advance(now, effects::add);

        // then
        assertThat(effects).contains(new EntryEffect.Withdraw(id));
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Fail(id, true));
    }

    @Test
    void should_fail_when_a_safe_request_may_have_run_and_no_other_server_accepts_it() {
        // given
        join("one");
        join("two");
        long id = open(RequestKind.SAFE, OptionalInt.empty());
        controller.onBroken(id, 0, true, now, effects::add);

        // when
        controller.onRefused(id, 0, Refusal.FULL, 100, IDLE, now, effects::add);

        // then
        assertThat(nodesAsked()).hasSize(2);
        assertThat(lastEffect()).isEqualTo(new EntryEffect.Fail(id, false));
    }

    @Test
    void should_fail_when_a_safe_request_may_have_run_and_its_key_no_longer_has_a_server() {
        // given
        Member owner = join("one");
        assignAllKeysTo(owner);
        long id = open(RequestKind.SAFE, OptionalInt.of(7));
        roster.remove(owner.node());

        // when
        controller.onBroken(id, 0, true, now, effects::add);
        now += Timing.millisToNanos(1_001);
        controller.advance(now, effects::add);

        // then
        assertThat(lastEffect()).isInstanceOfSatisfying(EntryEffect.Fail.class, fail -> assertThat(fail.id())
                .isEqualTo(id));
    }

    @Test
    void should_ask_a_node_again_when_its_stopping_report_has_expired() {
        // given
        AdmissionLoad stopping = new AdmissionLoad(0, 0, 9, 50, false, true);
        join("one");
        long id = open(RequestKind.UNSAFE, OptionalInt.empty());
        controller.onRefused(id, 0, Refusal.STOPPING, 100, stopping, now, effects::add);
        open(RequestKind.UNSAFE, OptionalInt.empty());
        assertThat(nodesAsked()).hasSize(1);

        // when
        now += Timing.millisToNanos(1_001);
        open(RequestKind.UNSAFE, OptionalInt.empty());

        // then
        assertThat(nodesAsked()).containsExactly("one", "one");
    }

    @Test
    void should_ask_a_node_again_when_the_count_of_its_broken_requests_has_expired() {
        // given
        Member broken = join("one");
        for (int i = 0; i < 30; i++) {
            long id = open(RequestKind.UNSAFE, OptionalInt.empty());
            controller.onBroken(id, 0, false, now, effects::add);
        }
        join("two");
        effects.clear();
        open(RequestKind.UNSAFE, OptionalInt.empty());
        assertThat(nodesAsked()).containsExactly("two");

        // when
        now += Timing.millisToNanos(2_001);
        for (int i = 0; i < 12; i++) {
            open(RequestKind.UNSAFE, OptionalInt.empty());
        }

        // then
        assertThat(nodesAsked()).contains(broken.node());
    }

    /** Guards against a request that crashes each server that runs it, and was sent on for ever. */
    @Test
    void should_refuse_a_request_when_it_was_part_of_two_crashes() {
        // given
        join("node-a");
        suspects.put("node-b", new CrashReports(List.of(new CrashReport("i-1@5", List.of(CONTENT)))));
        open(RequestKind.UNSAFE, OptionalInt.empty());
        assertThat(effects).hasOnlyElementsOfType(EntryEffect.OpenAttempt.class);
        effects.clear();

        // when
        suspects.put("node-c", new CrashReports(List.of(new CrashReport("i-2@7", List.of(CONTENT)))));
        open(RequestKind.UNSAFE, OptionalInt.empty());

        // then
        assertThat(effects).singleElement().isInstanceOfSatisfying(EntryEffect.Refuse.class, refused -> {
            assertThat(refused.reason()).isEqualTo(Refusal.SUSPECT);
            assertThat(refused.retryAfterMillis()).isGreaterThanOrEqualTo(60_000);
        });
    }

    /** Guards against a request that reached a second server with the end of its body only. */
    @ParameterizedTest
    @EnumSource(RequestKind.class)
    void should_send_a_request_once_when_its_body_was_dropped(RequestKind kind) {
        // given
        join("node-a");
        join("node-b");

        // when
        for (String how : List.of("refused", "broken", "failed")) {
            long id = open(kind, OptionalInt.empty());
            effects.clear();
            controller.onBodyDropped(id, now, effects::add);
            switch (how) {
                case "refused" -> controller.onRefused(id, 0, Refusal.SHED, 0, IDLE, now, effects::add);
                case "broken" -> controller.onBroken(id, 0, false, now, effects::add);
                default -> controller.onAnswer(id, 0, true, IDLE, now, effects::add);
            }

            // then
            assertThat(effects)
                    .singleElement()
                    .isInstanceOf(
                            switch (how) {
                                case "refused" -> EntryEffect.Refuse.class;
                                case "broken" -> EntryEffect.Fail.class;
                                default -> EntryEffect.Deliver.class;
                            });
        }
    }
}
