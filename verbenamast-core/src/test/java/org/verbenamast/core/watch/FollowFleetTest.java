package org.verbenamast.core.watch;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks how many calls to the store a fleet makes to follow the operators' rows, and how soon all of its nodes know a
 * change after calls were lost in the network.
 */
class FollowFleetTest {

    /** Time after the end of an impairment from which on the platform counts a node as in contact. */
    private static final long CONTACT_MILLIS = 3_000;
    /** Call rate of a node that makes a call every 1.7 s regardless of what other nodes know. */
    private static final double FIXED_INTERVAL_CALLS_PER_SECOND = 1_000.0 / 1_700;

    /** Time after a change within which the platform expects nodes in contact to act on it. */
    private static final long CONFIG_APPLY_MILLIS = 2_500;

    /** Interval between changes, shorter than an answer with a large row takes on a slow link. */
    private static final long CHANGE_INTERVAL_MILLIS = 300;

    private static final int LARGE_FLEET = 88;

    private static final long MINUTE_MILLIS = 60_000;
    private static final long MAX_MILLIS = 30_000;

    private static VirtualFollowers started(int size, long seed, boolean exchanging) {
        VirtualFollowers fleet = new VirtualFollowers(size, seed, exchanging);
        fleet.start();
        fleet.runFor(10_000);
        return fleet;
    }

    /** Returns a fleet in which some nodes are cut off and have missed a change. */
    private static VirtualFollowers cutOffDuringAChange(long seed, boolean exchanging) {
        VirtualFollowers fleet = started(24, seed, exchanging);
        fleet.cutOff(0.3);
        fleet.runFor(4_000 + seed * 310);
        fleet.change();
        fleet.runFor(700);
        return fleet;
    }

    @Test
    void should_make_no_more_calls_per_node_when_the_fleet_grows() {
        double few = started(30, 1, true).callsPerSecond(MINUTE_MILLIS);
        double many = started(300, 1, true).callsPerSecond(MINUTE_MILLIS);

        System.out.printf("calls per node and second: 30 nodes %.3f, 300 nodes %.3f%n", few, many);
        assertThat(many).isLessThanOrEqualTo(few * 1.1);
        assertThat(few).isLessThan(FIXED_INTERVAL_CALLS_PER_SECOND);
    }

    @Test
    void should_make_fewer_calls_when_nodes_exchange_versions() {
        double exchanging = started(30, 1, true).callsPerSecond(MINUTE_MILLIS);
        double alone = started(30, 1, false).callsPerSecond(MINUTE_MILLIS);

        System.out.printf("calls per node and second: exchanging versions %.3f, alone %.3f%n", exchanging, alone);
        assertThat(exchanging).isLessThan(alone);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_know_a_change_within_the_contact_time_when_calls_of_some_nodes_were_lost(long seed) {
        // given
        VirtualFollowers fleet = cutOffDuringAChange(seed, true);

        // when
        fleet.heal();

        // then
        assertThat(fleet.millisUntilAllKnow(MAX_MILLIS)).isLessThan(CONTACT_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_know_a_change_within_the_contact_time_when_the_calls_of_all_nodes_were_lost(long seed) {
        // given
        VirtualFollowers fleet = started(24, seed, true);
        fleet.cutOff(1);
        fleet.runFor(3_000 + seed * 370);
        fleet.heal();

        // when
        fleet.change();

        // then
        assertThat(fleet.millisUntilAllKnow(MAX_MILLIS)).isLessThan(CONTACT_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_know_a_change_within_the_contact_time_when_calls_were_lost_and_nodes_exchange_nothing(long seed) {
        // given
        VirtualFollowers fleet = cutOffDuringAChange(seed, false);

        // when
        fleet.heal();

        // then
        assertThat(fleet.millisUntilAllKnow(MAX_MILLIS)).isLessThan(CONTACT_MILLIS);
    }

    /** Starts a large fleet for each of several seeds and returns what is measured on each. */
    private static List<Long> onLargeFleets(ToLongFunction<VirtualFollowers> measured) {
        List<Long> results = LongStream.rangeClosed(1, 4)
                .map(seed -> measured.applyAsLong(started(LARGE_FLEET, seed, true)))
                .boxed()
                .toList();
        System.out.println("measured on the fleets: " + results);
        return results;
    }

    @Test
    void should_know_a_change_within_the_apply_time_when_calls_that_were_replaced_are_answered_too() {
        List<Long> delays = onLargeFleets(fleet -> {
            fleet.answersTake(700);
            fleet.change();
            return fleet.millisUntilAllKnow(MAX_MILLIS);
        });

        assertThat(delays).allMatch(delay -> delay < CONFIG_APPLY_MILLIS);
    }

    @Test
    void should_know_a_change_within_the_apply_time_when_its_answer_takes_most_of_it() {
        List<Long> delays = onLargeFleets(fleet -> {
            fleet.answersTake(2_000);
            fleet.change();
            return fleet.millisUntilAllKnow(MAX_MILLIS);
        });

        assertThat(delays).allMatch(delay -> delay < CONFIG_APPLY_MILLIS);
    }

    @Test
    void should_know_each_change_within_the_apply_time_when_changes_come_faster_than_answers() {
        List<Long> delays = onLargeFleets(fleet -> {
            fleet.answersTake(700);
            return fleet.changeRepeatedly(20, CHANGE_INTERVAL_MILLIS);
        });

        assertThat(delays).allMatch(delay -> delay < CONFIG_APPLY_MILLIS);
    }

    @Test
    void should_know_each_change_within_the_apply_time_when_nodes_were_frozen_while_changes_came() {
        List<Long> delays = onLargeFleets(fleet -> {
            fleet.answersTake(400);
            fleet.freeze(0.15);
            fleet.runFor(500);
            fleet.changeRepeatedly(10, CHANGE_INTERVAL_MILLIS);
            fleet.wake();
            return Math.max(fleet.changeRepeatedly(20, CHANGE_INTERVAL_MILLIS), fleet.millisUntilAllKnow(MAX_MILLIS));
        });

        assertThat(delays).allMatch(delay -> delay < CONFIG_APPLY_MILLIS);
    }

    @Test
    void should_know_each_change_within_the_apply_time_when_answers_were_slow_until_the_contact_time_ago() {
        List<Long> delays = onLargeFleets(fleet -> {
            fleet.answersTake(3_000);
            fleet.changeRepeatedly(12, CHANGE_INTERVAL_MILLIS);
            fleet.answersTake(600);
            fleet.changeRepeatedly((int) (CONTACT_MILLIS / CHANGE_INTERVAL_MILLIS), CHANGE_INTERVAL_MILLIS);
            return fleet.changeRepeatedly(40, CHANGE_INTERVAL_MILLIS);
        });

        assertThat(delays).allMatch(delay -> delay < CONFIG_APPLY_MILLIS);
    }

    @Test
    void should_break_off_no_answer_when_it_is_still_arriving() {
        List<Long> brokenOff = onLargeFleets(fleet -> {
            fleet.answersTake(400);
            fleet.changeRepeatedly(10, CHANGE_INTERVAL_MILLIS);
            return fleet.brokenOffAnswers();
        });

        assertThat(brokenOff).containsOnly(0L);
    }
}
