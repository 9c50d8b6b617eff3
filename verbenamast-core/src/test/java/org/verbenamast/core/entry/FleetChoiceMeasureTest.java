package org.verbenamast.core.entry;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenamast.core.entry.SimulatedFleet.Reports;
import org.verbenamast.core.entry.SimulatedFleet.Result;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares the selection of servers by load reports with one at random, in fleets of several sizes. */
class FleetChoiceMeasureTest {

    private static double playAndShowInTime(int entries, double load, long seed, Reports reports) {
        SimulatedFleet fleet = new SimulatedFleet(entries, load, seed, reports);
        fleet.play();
        System.out.printf(
                "choice, reports %s, %d entries, load %.2f, seed %d: %.3f in time, %.3f served, busiest %.2f%n",
                reports,
                entries,
                load,
                seed,
                fleet.share(Result.IN_TIME),
                fleet.share(Result.IN_TIME, Result.LATE),
                fleet.busiestOverMean());
        return fleet.share(Result.IN_TIME);
    }

    @ParameterizedTest
    @CsvSource({"14, 1", "88, 0.67", "88, 1", "300, 0.67"})
    void should_answer_no_less_in_time_than_a_random_choice(int entries, double load) {
        for (long seed = 1; seed <= 2; seed++) {
            // when
            double informed = playAndShowInTime(entries, load, seed, Reports.DELIVERED);
            double random = playAndShowInTime(entries, load, seed, Reports.BLANK);

            // then
            assertThat(informed)
                    .as("share of long requests in time, seed %d", seed)
                    .isGreaterThanOrEqualTo(random);
        }
    }

    @Test
    void should_send_few_requests_to_a_server_that_rejects_half_of_them() {
        for (long seed = 1; seed <= 3; seed++) {
            // when
            SimulatedFleet fleet = new SimulatedFleet(25, 0.67, seed, Reports.DELIVERED).withRejections(1, 0.5);
            fleet.play();
            System.out.printf(
                    "one of ten servers rejects half, seed %d: %.3f of arrivals rejected, %.3f in time%n",
                    seed, fleet.rejectedShareOfArrivals(), fleet.share(Result.IN_TIME));

            // then
            assertThat(fleet.rejectedShareOfArrivals())
                    .as("rejected arrivals, seed %d", seed)
                    .isLessThan(0.02);
        }
    }
}
