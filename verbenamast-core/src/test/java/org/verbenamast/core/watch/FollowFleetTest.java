package org.verbenamast.core.watch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What following the operators' rows costs a fleet, and how soon all of it knows a change. */
class FollowFleetTest {

    /** Time after an impairment from which the platform counts a node as in touch, in milliseconds. */
    private static final long CONTACT_MILLIS = 3_000;
    /** Calls of a node in a second by the earlier policy: one call each 1.7 s, whatever others know. */
    private static final double EARLIER_CALLS = 1_000.0 / 1_700;

    private static final long MINUTE = 60_000;
    private static final long MOST = 30_000;

    private static VirtualFollowers started(int size, long seed, boolean telling) {
        VirtualFollowers fleet = new VirtualFollowers(size, seed, telling);
        fleet.start();
        fleet.runFor(10_000);
        return fleet;
    }

    /** Returns a fleet in which some nodes are cut off, so that they have missed a change. */
    private static VirtualFollowers cutOffDuringAChange(long seed, boolean telling) {
        VirtualFollowers fleet = started(24, seed, telling);
        fleet.cutOff(0.3);
        fleet.runFor(4_000 + seed * 310);
        fleet.change();
        fleet.runFor(700);
        return fleet;
    }

    @Test
    void should_make_no_more_calls_for_each_node_when_the_fleet_grows() {
        double few = started(30, 1, true).callsPerSecond(MINUTE);
        double many = started(300, 1, true).callsPerSecond(MINUTE);

        System.out.printf("calls of a node in a second: 30 nodes %.3f, 300 nodes %.3f%n", few, many);
        assertThat(many).isLessThanOrEqualTo(few * 1.1);
        assertThat(few).isLessThan(EARLIER_CALLS);
    }

    @Test
    void should_ask_as_often_as_alone_when_nodes_send_each_other_nothing() {
        double told = started(30, 1, true).callsPerSecond(MINUTE);
        double alone = started(30, 1, false).callsPerSecond(MINUTE);

        System.out.printf("calls of a node in a second: told %.3f, alone %.3f%n", told, alone);
        assertThat(told).isLessThan(alone);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_know_a_change_when_in_touch_again_after_a_cut_that_swallowed_calls(long seed) {
        // given
        VirtualFollowers fleet = cutOffDuringAChange(seed, true);

        // when
        fleet.heal();

        // then
        assertThat(fleet.millisUntilAllKnow(MOST)).isLessThan(CONTACT_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_know_a_change_in_time_when_the_store_swallowed_the_calls_of_all_nodes(long seed) {
        // given
        VirtualFollowers fleet = started(24, seed, true);
        fleet.cutOff(1);
        fleet.runFor(3_000 + seed * 370);
        fleet.heal();

        // when
        fleet.change();

        // then
        assertThat(fleet.millisUntilAllKnow(MOST)).isLessThan(CONTACT_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_know_a_change_in_time_when_calls_were_swallowed_and_no_request_is_under_way(long seed) {
        // given
        VirtualFollowers fleet = cutOffDuringAChange(seed, false);

        // when
        fleet.heal();

        // then
        assertThat(fleet.millisUntilAllKnow(MOST)).isLessThan(CONTACT_MILLIS);
    }
}
