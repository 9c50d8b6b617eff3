package org.verbenamast.core.ownership;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.Test;
import org.verbenamast.core.assign.AssignmentPolicy;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;

import static org.assertj.core.api.Assertions.assertThat;

class MoveMeasuresTest {

    private static final long SEED = 20_261_204;
    private static final int MEMBERS = 6;
    private static final ServiceSettings STOCK = new ServiceSettings(new ServiceName("stock"), true, 96, 16, true);
    private static final Duration JOIN_EVERY = Duration.ofMillis(200);
    private static final Duration CALM = Duration.ofSeconds(30);
    private static final Duration TAKE_OVER = Duration.ofSeconds(3);
    private static final double ORDINARY_RATE = 20;
    private static final double HOT_RATE = 1_000;
    private static final double CHURN_BOUND = 1.2;
    private static final Duration LOSS_BOUND = Duration.ofSeconds(4);
    private static final Duration MOVE_BOUND = Duration.ofSeconds(1);
    private static final double LOAD_BOUND = 1.2;

    private enum Scenario {
        JOIN(MOVE_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                fleet.join();
                return STOCK.slices() / (MEMBERS + 1);
            }
        },
        LEAVE(MOVE_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                OwnerNode leaving = fleet.nodes().get(1);
                int owned = leaving.ownership().owned();
                fleet.leave(leaving);
                return owned;
            }
        },
        LOSS(LOSS_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                OwnerNode lost = fleet.nodes().get(1);
                int owned = lost.ownership().owned();
                fleet.lose(lost, TAKE_OVER);
                return owned;
            }
        },
        HOT_SLICE(MOVE_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                fleet.rate(0, HOT_RATE);
                return fleet.ownerOf(0).ownership().owned() - 1;
            }
        };

        private final Duration bound;

        Scenario(Duration bound) {
            this.bound = bound;
        }

        /** Starts it and returns how many slices have to move. */
        abstract int start(OwnerFleet fleet);
    }

    private record Measured(
            Scenario scenario,
            int least,
            int moves,
            Duration unserved,
            int twice,
            List<Integer> owned,
            double hotOwnerRate,
            double othersImbalance) {

        double churn() {
            return (double) moves / least;
        }

        int spread() {
            return owned.stream().mapToInt(Integer::intValue).max().orElseThrow()
                    - owned.stream().mapToInt(Integer::intValue).min().orElseThrow();
        }

        void print(AssignmentPolicy policy) {
            System.out.printf(
                    Locale.ROOT,
                    "measure: %s %s: moves %d of %d (churn %.2f), unserved %.2f slice-seconds, owned %s, "
                            + "rate at the owner of slice 0 %.0f, others max/mean %.2f%n",
                    scenario,
                    policy,
                    moves,
                    least,
                    churn(),
                    unserved.toMillis() / 1e3,
                    owned,
                    hotOwnerRate,
                    othersImbalance);
        }
    }

    @Test
    void should_keep_churn_imbalance_and_unserved_time_within_bounds_when_a_member_joins() {
        Measured balanced = measure(Scenario.JOIN, AssignmentPolicy.BALANCED);
        Measured roundRobin = measure(Scenario.JOIN, AssignmentPolicy.ROUND_ROBIN);
        Measured random = measure(Scenario.JOIN, AssignmentPolicy.RANDOM);
        check(balanced);
        assertThat(balanced.moves()).isLessThan(roundRobin.moves());
        assertThat(balanced.unserved()).isLessThan(roundRobin.unserved());
        assertThat(balanced.spread()).isLessThan(random.spread());
    }

    @Test
    void should_keep_churn_imbalance_and_unserved_time_within_bounds_when_a_member_leaves() {
        checkAgainstBaselines(Scenario.LEAVE);
    }

    @Test
    void should_keep_churn_imbalance_and_unserved_time_within_bounds_when_a_member_is_lost() {
        checkAgainstBaselines(Scenario.LOSS);
    }

    @Test
    void should_move_nothing_when_members_start_one_after_another() {
        OwnerFleet fleet = startFleet(AssignmentPolicy.BALANCED);
        fleet.runFor(CALM);
        System.out.printf(
                "measure: START BALANCED: moves %d of 0, owned %s%n",
                fleet.store().moves(), owned(fleet));
        assertThat(fleet.store().moves()).isZero();
        assertThat(owned(fleet)).containsOnly(STOCK.slices() / MEMBERS);
    }

    private static OwnerFleet startFleet(AssignmentPolicy policy) {
        OwnerFleet fleet = new OwnerFleet(STOCK, new OwnershipRules(policy, MemberWeights.EVEN), SEED);
        for (int member = 0; member < MEMBERS; member++) {
            fleet.join();
            fleet.runFor(JOIN_EVERY);
        }
        return fleet;
    }

    private void checkAgainstBaselines(Scenario scenario) {
        Measured balanced = measure(scenario, AssignmentPolicy.BALANCED);
        Measured roundRobin = measure(scenario, AssignmentPolicy.ROUND_ROBIN);
        Measured random = measure(scenario, AssignmentPolicy.RANDOM);
        check(balanced);
        assertThat(balanced.moves()).isLessThan(roundRobin.moves());
        assertThat(balanced.spread()).isLessThan(random.spread());
    }

    @Test
    void should_leave_a_hot_slice_alone_when_it_is_hotter_than_a_share() {
        Measured balanced = measure(Scenario.HOT_SLICE, AssignmentPolicy.BALANCED);
        Measured roundRobin = measure(Scenario.HOT_SLICE, AssignmentPolicy.ROUND_ROBIN);
        assertThat(balanced.twice()).isZero();
        assertThat(balanced.churn()).isLessThanOrEqualTo(CHURN_BOUND);
        assertThat(balanced.unserved()).isLessThanOrEqualTo(MOVE_BOUND.multipliedBy(balanced.moves()));
        assertThat(balanced.hotOwnerRate()).isLessThanOrEqualTo(LOAD_BOUND * HOT_RATE);
        assertThat(balanced.hotOwnerRate()).isLessThan(roundRobin.hotOwnerRate());
        assertThat(balanced.othersImbalance()).isLessThanOrEqualTo(LOAD_BOUND);
    }

    private static void check(Measured measured) {
        assertThat(measured.twice()).isZero();
        assertThat(measured.churn()).isLessThanOrEqualTo(CHURN_BOUND);
        assertThat(measured.spread()).isLessThanOrEqualTo(1);
        Duration bound = measured.scenario().bound.multipliedBy(measured.moves());
        assertThat(measured.unserved()).isLessThanOrEqualTo(bound);
    }

    private static Measured measure(Scenario scenario, AssignmentPolicy policy) {
        OwnerFleet fleet = startFleet(policy);
        for (int slice = 0; slice < STOCK.slices(); slice++) {
            fleet.rate(slice, ORDINARY_RATE);
        }
        fleet.runFor(CALM);
        int movesBefore = fleet.store().moves();
        Duration unservedBefore = fleet.unserved();
        int least = scenario.start(fleet);
        fleet.runFor(CALM.multipliedBy(2));
        Measured measured = new Measured(
                scenario,
                least,
                fleet.store().moves() - movesBefore,
                fleet.unserved().minus(unservedBefore),
                fleet.twice(),
                owned(fleet),
                fleet.ownerOf(0).ownership().rate(fleet.now()),
                othersImbalance(fleet));
        measured.print(policy);
        return measured;
    }

    private static List<Integer> owned(OwnerFleet fleet) {
        return serving(fleet).stream().map(node -> node.ownership().owned()).toList();
    }

    private static List<OwnerNode> serving(OwnerFleet fleet) {
        return fleet.nodes().stream()
                .filter(OwnerNode::alive)
                .filter(node -> node.directory().member(node.id()).status().acceptsSlices())
                .toList();
    }

    private static double othersImbalance(OwnerFleet fleet) {
        double[] rates = serving(fleet).stream()
                .filter(node -> node != fleet.ownerOf(0))
                .mapToDouble(node -> node.ownership().rate(fleet.now()))
                .toArray();
        return Arrays.stream(rates).max().orElseThrow()
                / Arrays.stream(rates).average().orElseThrow();
    }
}
