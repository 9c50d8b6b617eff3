package org.verbenamast.core.ownership;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;

import static org.assertj.core.api.Assertions.assertThat;

class PlannedMovesTest {

    private static final long SEED = 20_261_204;
    private static final ServiceSettings STOCK = new ServiceSettings(new ServiceName("stock"), true, 8, 4, true);
    private static final ServiceSettings UNFENCED = new ServiceSettings(new ServiceName("stock"), true, 8, 4, false);
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(30);
    private static final Duration LONG_REQUEST = Duration.ofSeconds(9);
    private static final Duration PLAN_STABLE = Duration.ofSeconds(3);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(2);

    private OwnerFleet fleet = fleetOfOne(STOCK);

    private static OwnerFleet fleetOfOne(ServiceSettings service) {
        OwnerFleet fleet = new OwnerFleet(service, OwnershipRules.DEFAULT, SEED);
        fleet.join();
        fleet.runFor(QUIET_PERIOD);
        return fleet;
    }

    private OwnerNode first() {
        return fleet.nodes().get(0);
    }

    private void startRequestsOnAllSlices(Duration length) {
        for (int slice = 0; slice < STOCK.slices(); slice++) {
            fleet.startRequest(fleet.slice(slice), first(), length);
        }
    }

    private long admittedBy(OwnerNode node) {
        return java.util.stream.IntStream.range(0, STOCK.slices())
                .filter(slice -> node.ownership().admits(fleet.slice(slice), fleet.now()))
                .count();
    }

    @Test
    void should_cancel_the_moves_and_retry_them_when_requests_run_too_long() {
        startRequestsOnAllSlices(LONG_REQUEST);
        fleet.join();
        fleet.runFor(PLAN_STABLE);
        assertThat(admittedBy(first())).isEqualTo(4);
        fleet.runFor(DRAIN_TIMEOUT);
        assertThat(admittedBy(first())).isEqualTo(8);
        fleet.runFor(QUIET_PERIOD);
        assertThat(admittedBy(first())).isEqualTo(4);
        assertThat(admittedBy(fleet.nodes().get(1))).isEqualTo(4);
        assertThat(fleet.doubleAdmissions()).isZero();
    }

    @Test
    void should_serve_again_at_once_when_the_target_is_lost_during_the_drain() {
        startRequestsOnAllSlices(LONG_REQUEST);
        OwnerNode target = fleet.join();
        fleet.runFor(PLAN_STABLE);
        assertThat(admittedBy(first())).isEqualTo(4);
        fleet.lose(target, Duration.ofMillis(1));
        fleet.runFor(Duration.ofMillis(700));
        assertThat(admittedBy(first())).isEqualTo(8);
    }

    @Test
    void should_not_serve_when_the_write_of_the_next_grant_may_take_effect() {
        OwnerNode next = fleet.join();
        fleet.store().setRepliesLost(true);
        fleet.runFor(PLAN_STABLE.plusSeconds(3));
        assertThat(admittedBy(first())).isEqualTo(4);
        fleet.store().rows().forEach(fleet::gossip);
        fleet.runFor(Duration.ofSeconds(5));
        assertThat(fleet.doubleAdmissions()).isZero();
        assertThat(admittedBy(next)).isEqualTo(4);
        fleet.store().setRepliesLost(false);
        fleet.runFor(QUIET_PERIOD);
        assertThat(fleet.doubleAdmissions()).isZero();
        assertThat(admittedBy(first()) + admittedBy(next)).isEqualTo(8);
    }

    @Test
    void should_apply_its_own_write_and_notify_the_next_owner_when_the_reply_was_lost() {
        OwnerNode next = fleet.join();
        fleet.runFor(Duration.ofMillis(1_900));
        fleet.store().setRepliesLost(true);
        fleet.runFor(Duration.ofMillis(600));
        fleet.store().setRepliesLost(false);
        fleet.runFor(Duration.ofSeconds(3));
        assertThat(admittedBy(first())).isEqualTo(4);
        assertThat(admittedBy(next)).isEqualTo(4);
        assertThat(fleet.doubleAdmissions()).isZero();
    }

    @Test
    void should_keep_serving_when_the_table_service_refuses_the_moves() {
        fleet.join();
        fleet.store().setDown(true);
        Duration before = fleet.unservedTime();
        fleet.runFor(QUIET_PERIOD);
        Duration maxUnserved = QUIET_PERIOD.multipliedBy(STOCK.slices()).dividedBy(50);
        assertThat(fleet.unservedTime().minus(before)).isLessThanOrEqualTo(maxUnserved);
        assertThat(fleet.doubleAdmissions()).isZero();
    }

    @Test
    void should_start_a_few_moves_a_second_when_many_slices_have_to_move() {
        fleet = fleetOfOne(new ServiceSettings(new ServiceName("stock"), true, 96, 16, true));
        fleet.join();
        int maxPerSecond = 0;
        for (int second = 0; second < 30; second++) {
            int before = fleet.store().moves();
            fleet.runFor(Duration.ofSeconds(1));
            maxPerSecond = Math.max(maxPerSecond, fleet.store().moves() - before);
        }
        assertThat(fleet.store().moves()).isEqualTo(48);
        assertThat(maxPerSecond).isLessThanOrEqualTo(16);
    }

    @Test
    void should_give_up_its_slices_when_the_last_member_leaves() {
        fleet.leave(first());
        fleet.runFor(Duration.ofSeconds(2));
        assertThat(first().ownership().ownedSliceCount()).isZero();
        OwnerNode next = fleet.join();
        fleet.runFor(Duration.ofSeconds(2));
        assertThat(admittedBy(next)).isEqualTo(8);
    }

    @Test
    void should_wait_for_the_longest_request_when_a_lost_owners_backend_server_checks_no_epochs() {
        fleet = fleetOfOne(UNFENCED);
        OwnerNode next = fleet.join();
        fleet.runFor(QUIET_PERIOD);
        fleet.lose(first(), Duration.ofSeconds(1));
        fleet.runFor(Duration.ofSeconds(10));
        assertThat(admittedBy(next)).isEqualTo(4);
        fleet.runFor(Duration.ofSeconds(3));
        assertThat(admittedBy(next)).isEqualTo(8);
    }
}
