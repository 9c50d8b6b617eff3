package org.verbenamast.core.keys;

import java.util.Random;

import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that no two servers hold the same key while faults occur, and that one server holds each key once the faults
 * have ended. Each schedule draws its faults from a seed.
 */
@Execution(ExecutionMode.CONCURRENT)
class KeyScheduleTest {

    /** Schedules in each of the four groups; the system property raises the number, for example before a release. */
    private static final int SEEDS_PER_GROUP = Integer.getInteger("schedules.each", 2_500);

    private static final int FAULTS_PER_SCHEDULE = 6;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_grant_each_key_to_one_server_when_faults_occur_in_any_order(long group) {
        for (long seed = group * 10_000; seed < group * 10_000 + SEEDS_PER_GROUP; seed++) {
            // given
            VirtualKeys fleet = new VirtualKeys(seed, 4);
            long scheduleSeed = seed;
            Runnable check = () -> assertThat(fleet.describeDoubleHolding())
                    .as("seed %d, at %d ms", scheduleSeed, fleet.now() / 1_000_000)
                    .isEmpty();
            fleet.run(5_000, check);

            // when
            for (int fault = 0; fault < FAULTS_PER_SCHEDULE; fault++) {
                injectFault(fleet);
                fleet.run(fleet.random().nextInt(4_000), check);
            }
            fleet.hosts().forEach(host -> restore(host));
            fleet.run(40_000, check);

            // then
            assertThat(fleet.unheldKeyCount()).as("seed %d", seed).isZero();
        }
    }

    static void restore(VirtualKeys.Host host) {
        host.disconnectStore(0);
        if (host.server() == null || host.server().state() != org.verbenamast.core.roster.ServerState.READY) {
            host.startServer();
        }
        host.stopNode();
        host.startNode();
    }

    static void injectFault(VirtualKeys fleet) {
        Random random = fleet.random();
        VirtualKeys.Host host = fleet.randomHost();
        switch (random.nextInt(7)) {
            case 0 -> host.disconnectStore(random.nextInt(15_000));
            case 1 -> fleet.stopStore(random.nextInt(9_000));
            case 2 -> {
                host.stopNode();
                host.startNode();
            }
            case 3 -> {
                host.stopServer();
                host.startServer();
            }
            case 4 -> {
                host.stopNode();
                host.stopServer();
            }
            case 5 -> {
                if (host.server() != null) {
                    host.server().drain();
                }
            }
            default -> host.stopServer();
        }
    }
}
