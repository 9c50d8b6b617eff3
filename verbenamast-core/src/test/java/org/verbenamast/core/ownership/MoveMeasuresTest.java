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
    private static final Duration JOIN_INTERVAL = Duration.ofMillis(200);
    private static final Duration QUIET_PERIOD = Duration.ofSeconds(30);
    private static final Duration TAKE_OVER_DELAY = Duration.ofSeconds(3);
    private static final double NORMAL_RATE = 20;
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
                int ownedBefore = leaving.ownership().ownedSliceCount();
                fleet.leave(leaving);
                return ownedBefore;
            }
        },
        LOSS(LOSS_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                OwnerNode lost = fleet.nodes().get(1);
                int ownedBefore = lost.ownership().ownedSliceCount();
                fleet.lose(lost, TAKE_OVER_DELAY);
                return ownedBefore;
            }
        },
        HOT_SLICE(MOVE_BOUND) {
            @Override
            int start(OwnerFleet fleet) {
                fleet.setRate(0, HOT_RATE);
                return fleet.ownerOf(0).ownership().ownedSliceCount() - 1;
            }
        };

        private final Duration bound;

        Scenario(Duration bound) {
            this.bound = bound;
        }

        /** Starts the scenario and returns how many slices have to move. */
        abstract int start(OwnerFleet fleet);
    }

    private record Measurement(
            Scenario scenario,
            int requiredMoves,
            int moves,
            Duration unservedTime,
            int doubleAdmissions,
            List<Integer> ownedSliceCounts,
            double hotOwnerRate,
            double othersImbalance) {

        double churn() {
            return (double) moves / requiredMoves;
        }

        int spread() {
            return ownedSliceCounts.stream().mapToInt(Integer::intValue).max().orElseThrow()
                    - ownedSliceCounts.stream()
                            .mapToInt(Integer::intValue)
                            .min()
                            .orElseThrow();
        }

        void print(AssignmentPolicy policy) {
            System.out.printf(
                    Locale.ROOT,
                    "measure: %s %s: moves %d of %d (churn %.2f), unserved %.2f slice-seconds, owned %s, "
                            + "rate at the owner of slice 0 %.0f, others max/mean %.2f%n",
                    scenario,
                    policy,
                    moves,
                    requiredMoves,
                    churn(),
                    unservedTime.toMillis() / 1e3,
                    ownedSliceCounts,
                    hotOwnerRate,
                    othersImbalance);
        }
    }

    @Test
    void should_keep_churn_imbalance_and_unserved_time_within_bounds_when_a_member_joins() {
        Measurement balanced = measure(Scenario.JOIN, AssignmentPolicy.BALANCED);
        Measurement roundRobin = measure(Scenario.JOIN, AssignmentPolicy.ROUND_ROBIN);
        Measurement random = measure(Scenario.JOIN, AssignmentPolicy.RANDOM);
        check(balanced);
        assertThat(balanced.moves()).isLessThan(roundRobin.moves());
        assertThat(balanced.unservedTime()).isLessThan(roundRobin.unservedTime());
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
        fleet.runFor(QUIET_PERIOD);
        System.out.printf(
                "measure: START BALANCED: moves %d of 0, owned %s%n",
                fleet.store().moves(), ownedSliceCounts(fleet));
        assertThat(fleet.store().moves()).isZero();
        assertThat(ownedSliceCounts(fleet)).containsOnly(STOCK.slices() / MEMBERS);
    }

    private static OwnerFleet startFleet(AssignmentPolicy policy) {
        OwnerFleet fleet = new OwnerFleet(STOCK, new OwnershipRules(policy, MemberWeights.EVEN), SEED);
        for (int member = 0; member < MEMBERS; member++) {
            fleet.join();
            fleet.runFor(JOIN_INTERVAL);
        }
        return fleet;
    }

    private void checkAgainstBaselines(Scenario scenario) {
        Measurement balanced = measure(scenario, AssignmentPolicy.BALANCED);
        Measurement roundRobin = measure(scenario, AssignmentPolicy.ROUND_ROBIN);
        Measurement random = measure(scenario, AssignmentPolicy.RANDOM);
        check(balanced);
        assertThat(balanced.moves()).isLessThan(roundRobin.moves());
        assertThat(balanced.spread()).isLessThan(random.spread());
    }

    @Test
    void should_leave_a_hot_slice_alone_when_it_is_hotter_than_a_share() {
        Measurement balanced = measure(Scenario.HOT_SLICE, AssignmentPolicy.BALANCED);
        Measurement roundRobin = measure(Scenario.HOT_SLICE, AssignmentPolicy.ROUND_ROBIN);
        assertThat(balanced.doubleAdmissions()).isZero();
        assertThat(balanced.churn()).isLessThanOrEqualTo(CHURN_BOUND);
        assertThat(balanced.unservedTime()).isLessThanOrEqualTo(MOVE_BOUND.multipliedBy(balanced.moves()));
        assertThat(balanced.hotOwnerRate()).isLessThanOrEqualTo(LOAD_BOUND * HOT_RATE);
        assertThat(balanced.hotOwnerRate()).isLessThan(roundRobin.hotOwnerRate());
        assertThat(balanced.othersImbalance()).isLessThanOrEqualTo(LOAD_BOUND);
    }

    private static void check(Measurement measurement) {
        assertThat(measurement.doubleAdmissions()).isZero();
        assertThat(measurement.churn()).isLessThanOrEqualTo(CHURN_BOUND);
        assertThat(measurement.spread()).isLessThanOrEqualTo(1);
        Duration bound = measurement.scenario().bound.multipliedBy(measurement.moves());
        assertThat(measurement.unservedTime()).isLessThanOrEqualTo(bound);
    }

    private static Measurement measure(Scenario scenario, AssignmentPolicy policy) {
        OwnerFleet fleet = startFleet(policy);
        for (int slice = 0; slice < STOCK.slices(); slice++) {
            fleet.setRate(slice, NORMAL_RATE);
        }
        fleet.runFor(QUIET_PERIOD);
        int movesBefore = fleet.store().moves();
        Duration unservedBefore = fleet.unservedTime();
        int requiredMoves = scenario.start(fleet);
        fleet.runFor(QUIET_PERIOD.multipliedBy(2));
        Measurement measurement = new Measurement(
                scenario,
                requiredMoves,
                fleet.store().moves() - movesBefore,
                fleet.unservedTime().minus(unservedBefore),
                fleet.doubleAdmissions(),
                ownedSliceCounts(fleet),
                fleet.ownerOf(0).ownership().requestRate(fleet.now()),
                othersImbalance(fleet));
        measurement.print(policy);
        return measurement;
    }

    private static List<Integer> ownedSliceCounts(OwnerFleet fleet) {
        return activeNodes(fleet).stream()
                .map(node -> node.ownership().ownedSliceCount())
                .toList();
    }

    private static List<OwnerNode> activeNodes(OwnerFleet fleet) {
        return fleet.nodes().stream()
                .filter(OwnerNode::alive)
                .filter(node -> node.directory().member(node.id()).status().acceptsSlices())
                .toList();
    }

    private static double othersImbalance(OwnerFleet fleet) {
        double[] rates = activeNodes(fleet).stream()
                .filter(node -> node != fleet.ownerOf(0))
                .mapToDouble(node -> node.ownership().requestRate(fleet.now()))
                .toArray();
        return Arrays.stream(rates).max().orElseThrow()
                / Arrays.stream(rates).average().orElseThrow();
    }
}
