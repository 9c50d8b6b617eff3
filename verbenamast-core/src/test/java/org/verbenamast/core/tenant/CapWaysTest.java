package org.verbenamast.core.tenant;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntConsumer;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The three ways that were weighed to keep a cap of 100/s over 80 nodes, with the same demand of 200/s at three nodes
 * that change each 2 s, and the fleet cut in two halves from second 20 to 30.
 */
class CapWaysTest {

    private static final int NODES = 80;
    private static final int MILLIS = 60_000;
    private static final int WARM_UP_MILLIS = 6_000;
    private static final int BOUND = 680;
    private static final long WINDOW_MILLIS = 5_000;
    private static final long MILLI = CapFleet.MILLI;

    private final Random random = new Random(7);

    private static boolean isCut(int milli) {
        return milli >= 20_000 && milli < 30_000;
    }

    private void demand(int milli, IntConsumer request) {
        if (random.nextDouble() < 0.2) {
            request.accept((milli / 2_000 * 31 + random.nextInt(3) * 17) % NODES);
        }
    }

    private static double used(List<Long> granted) {
        return granted.size() / (100.0 * MILLIS / 1_000);
    }

    private static int most(List<Long> granted) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < granted.size(); last++) {
            while (granted.get(last) - granted.get(first) > WINDOW_MILLIS * MILLI) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private List<Long> runFleet(boolean connected) {
        CapFleet fleet = new CapFleet(NODES, connected);
        for (int milli = 0; milli < WARM_UP_MILLIS; milli++) {
            fleet.step();
        }
        for (int milli = 0; milli < MILLIS; milli++) {
            fleet.cut.clear();
            for (int node = 0; isCut(milli) && node < NODES / 2; node++) {
                fleet.cut.add(node);
            }
            fleet.step();
            demand(milli, fleet::request);
        }
        return fleet.granted;
    }

    /** Each node tells all others its demand twice a second, and takes the part of the rate that this is of all. */
    private List<Long> runTold() {
        double[][] known = new double[NODES][NODES];
        long[][] knownAt = new long[NODES][NODES];
        double[] own = new double[NODES];
        double[] tokens = new double[NODES];
        List<Long> granted = new ArrayList<>();
        for (int milli = 0; milli < MILLIS; milli++) {
            for (int node = 0; node < NODES; node++) {
                own[node] *= 0.998;
                if ((milli + node) % 500 == 0) {
                    for (int other = 0; other < NODES; other++) {
                        if (!isCut(milli) || node < NODES / 2 == other < NODES / 2) {
                            known[other][node] = own[node];
                            knownAt[other][node] = milli;
                        }
                    }
                }
                double all = own[node];
                for (int other = 0; other < NODES; other++) {
                    all += other != node && milli - knownAt[node][other] < 2_000 ? known[node][other] : 0;
                }
                double share = all > 0 ? own[node] / all : 0;
                tokens[node] = Math.min(Math.max(1, 100 * share), tokens[node] + 0.1 * share);
            }
            long now = milli * MILLI;
            demand(milli, node -> {
                own[node] += 1;
                if (tokens[node] >= 1) {
                    tokens[node] -= 1;
                    granted.add(now);
                }
            });
        }
        return granted;
    }

    @Test
    void should_hardly_use_the_cap_when_shares_are_equal() {
        List<Long> granted = runFleet(false);

        assertThat(most(granted)).isLessThanOrEqualTo(BOUND);
        assertThat(used(granted)).isLessThan(0.1);
    }

    @Test
    void should_use_the_cap_within_its_bound_when_a_bank_grants_tokens() {
        List<Long> granted = runFleet(true);

        assertThat(most(granted)).isLessThanOrEqualTo(BOUND);
        assertThat(used(granted)).isGreaterThan(0.9);
    }

    @Test
    void should_exceed_the_rate_without_a_limit_when_halves_know_nothing_of_each_other_and_demand_is_told() {
        List<Long> granted = runTold();

        long whileCut = granted.stream()
                .filter(at -> at >= 22_000 * MILLI && at < 30_000 * MILLI)
                .count();
        assertThat(whileCut).isGreaterThan(8 * 100 * 11 / 10);
    }
}
