package org.verbenamast.core.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.node.Timing;

import static org.assertj.core.api.Assertions.assertThat;

class FollowControllerTest {

    /** Time after an impairment from which the platform counts a node as in touch, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;

    private final List<Effect> effects = new ArrayList<>();
    private final FollowController desk = new FollowController(() -> 0.99, TransitionListener.NONE);
    private long now = Timing.millisToNanos(1_000);

    private List<FollowEffect.Await> calls(FollowedTable table) {
        return effects.stream()
                .filter(FollowEffect.Await.class::isInstance)
                .map(FollowEffect.Await.class::cast)
                .filter(call -> call.table() == table)
                .toList();
    }

    private FollowEffect.Await lastCall(FollowedTable table) {
        List<FollowEffect.Await> calls = calls(table);
        return calls.get(calls.size() - 1);
    }

    private FollowEffect.Await lastCall() {
        return lastCall(FollowedTable.OPERATORS);
    }

    private void begin() {
        desk.start(now, effects::add);
        for (Effect effect : List.copyOf(effects)) {
            FollowEffect.ReadAll read = (FollowEffect.ReadAll) effect;
            desk.ended(
                    read.table(),
                    read.ticket(),
                    FollowEvent.READ,
                    FollowInput.answered(7, 7, false),
                    now,
                    effects::add);
        }
    }

    private void runFor(long millis) {
        long until = now + Timing.millisToNanos(millis);
        while (desk.nextDue() <= until) {
            now = Math.max(now, desk.nextDue());
            desk.advance(now, effects::add);
        }
        now = until;
    }

    /** Lets a tenth of a second pass and another node tell its news, again and again. */
    private void runWhileTold(int tenths, LongFunction<StoreVersions> newsAtTenth) {
        for (int tenth = 0; tenth < tenths; tenth++) {
            runFor(100);
            desk.told(newsAtTenth.apply(tenth), now, effects::add);
        }
    }

    private void bringSharedRow(long version) {
        long ticket = lastCall(FollowedTable.SHARED).ticket();
        FollowInput row = FollowInput.answered(version, version, false);
        desk.ended(FollowedTable.SHARED, ticket, FollowEvent.CHANGED, row, now, effects::add);
    }

    private void told(long operators, long ageMillis, long shared) {
        desk.told(new StoreVersions(operators, ageMillis, shared), now, effects::add);
    }

    /** Lets the last call stay without an answer until the next one is made. */
    private void makeNextCall() {
        int before = effects.size();
        while (effects.size() == before) {
            now = Math.max(now + 1, desk.nextDue());
            desk.advance(now, effects::add);
        }
    }

    @Test
    void should_ask_again_before_it_counts_as_in_touch_when_the_call_was_lost_as_an_impairment_ended() {
        // given
        begin();
        for (int lost = 0; lost < 10; lost++) {
            makeNextCall();
        }

        // when
        long impairmentEnded = now;
        makeNextCall();

        // then
        assertThat(now - impairmentEnded).isLessThan(Timing.millisToNanos(CONTACT_MILLIS));
    }

    @Test
    void should_ask_again_before_it_counts_as_in_touch_when_no_call_is_answered_and_other_nodes_hear_nothing_either() {
        // given
        begin();
        runFor(400);

        // when
        runWhileTold((int) CONTACT_MILLIS / 100, tenth -> new StoreVersions(7, 400 + tenth * 100, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeGreaterThan(1);
    }

    @Test
    void should_leave_its_call_waiting_when_other_nodes_hear_from_the_store() {
        // given
        begin();

        // when
        runWhileTold(70, tenth -> new StoreVersions(7, 300, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(1);
    }

    @Test
    void should_take_no_proof_when_the_other_node_knows_less() {
        // given
        begin();

        // when
        runWhileTold(30, tenth -> new StoreVersions(6, 0, 7));

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeGreaterThan(1);
    }

    @Test
    void should_ask_at_once_when_another_node_knows_a_newer_manifest_and_the_call_brings_nothing() {
        // given
        begin();
        runFor(1_500);

        // when
        told(8, 0, 7);
        runFor(350);

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSize(2);
        assertThat(lastCall().after()).isEqualTo(7);
    }

    @Test
    void should_not_ask_when_what_another_node_knew_came_in_the_usual_way() {
        // given
        begin();

        // when
        told(7, 0, 9);
        runFor(50);
        desk.saw(FollowedTable.SHARED, 9, now, effects::add);
        runFor(500);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);
    }

    @Test
    void should_end_the_pause_after_a_change_when_another_node_knows_a_newer_row() {
        // given
        begin();
        bringSharedRow(9);
        runFor(1_000);
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);

        // when
        told(7, 0, 11);
        runFor(350);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(2);
    }

    @Test
    void should_keep_to_the_end_of_the_pause_when_news_came_that_it_soon_knew() {
        // given
        begin();
        bringSharedRow(9);
        runFor(1_000);

        // when
        told(7, 0, 11);
        desk.saw(FollowedTable.SHARED, 11, now, effects::add);
        runFor(FollowedTable.SHARED.pauseMillis() - 1_100);

        // then
        assertThat(calls(FollowedTable.SHARED)).hasSize(1);
        runFor(200);
        assertThat(calls(FollowedTable.SHARED)).hasSize(2);
    }

    @Test
    void should_tell_its_own_last_answer_only_when_others_heard_later() {
        // given
        begin();
        runFor(600);

        // when
        told(7, 100, 7);

        // then
        assertThat(desk.news(now)).isEqualTo(new StoreVersions(7, 600, 7));
    }

    @Test
    void should_name_as_news_only_what_changes_something_when_another_node_tells() {
        // given
        begin();
        runFor(600);
        told(7, 100, 7);

        // then
        assertThat(desk.isNews(new StoreVersions(7, 100, 7), now)).isFalse();
        assertThat(desk.isNews(new StoreVersions(7, 300, 7), now)).isFalse();
        assertThat(desk.isNews(new StoreVersions(6, 0, 7), now)).isFalse();
        assertThat(desk.isNews(StoreVersions.NONE, now)).isFalse();
        assertThat(desk.isNews(new StoreVersions(7, 99, 7), now)).isTrue();
        assertThat(desk.isNews(new StoreVersions(8, 300, 7), now)).isTrue();
        assertThat(desk.isNews(new StoreVersions(7, 300, 8), now)).isTrue();
    }

    @Test
    void should_tell_nothing_when_the_store_has_not_answered_yet() {
        desk.start(now, effects::add);

        assertThat(desk.news(now)).isEqualTo(StoreVersions.NONE);
    }

    @Test
    void should_ask_once_in_a_second_when_others_know_more_and_no_call_is_answered() {
        // given
        begin();
        runFor(2_000);

        // when
        for (int tenth = 0; tenth < 50; tenth++) {
            told(8, 0, 7);
            runFor(100);
        }

        // then
        assertThat(calls(FollowedTable.OPERATORS)).hasSizeBetween(4, 7);
    }
}
