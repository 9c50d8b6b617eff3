package org.verbenamast.core.keys;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.VirtualRows;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks who holds keys, and under which fencing tokens, when the store comes back from an older copy. Each schedule
 * draws its faults from a seed.
 */
@Execution(ExecutionMode.CONCURRENT)
class KeyEraScheduleTest {

    private static final int SEEDS_PER_GROUP = Integer.getInteger("schedules.each", 2_500) / 20;
    private static final int DRILLS_PER_SCHEDULE = 2;
    private static final int FAULTS_PER_DRILL = 3;
    /** Distance of the keys whose fencing tokens are checked. */
    private static final int KEY_STEP = 1_024;

    /** The highest fencing token of a key, and the server that held the key with it. */
    private record Token(long epoch, ServerIncarnation server) {}

    private final Map<Integer, Token> tokens = new HashMap<>();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void should_grant_each_key_to_one_server_when_the_store_comes_back_from_older_copies(long group) {
        for (long seed = group * 10_000; seed < group * 10_000 + SEEDS_PER_GROUP; seed++) {
            // given
            tokens.clear();
            VirtualKeys fleet = new VirtualKeys(seed, 4);
            long scheduleSeed = seed;
            Runnable check = () -> check(fleet, scheduleSeed);
            fleet.run(5_000, check);

            // when
            for (int drill = 0; drill < DRILLS_PER_SCHEDULE; drill++) {
                VirtualRows.Copy copy = fleet.copyStore();
                for (int fault = 0; fault < FAULTS_PER_DRILL; fault++) {
                    KeyScheduleTest.injectFault(fleet);
                    fleet.run(fleet.random().nextInt(4_000), check);
                }
                fleet.stopStore(1_000);
                fleet.run(500, check);
                VirtualKeys.Host restarted = fleet.randomHost();
                restarted.stopNode();
                restarted.startNode();
                fleet.run(500, check);
                fleet.restoreStore(copy);
                fleet.run(fleet.random().nextInt(15_000), check);
            }
            fleet.hosts().forEach(KeyScheduleTest::restore);
            fleet.run(50_000, check);

            // then
            assertThat(fleet.unheldKeyCount()).as("seed %d", seed).isZero();
        }
    }

    private void check(VirtualKeys fleet, long seed) {
        String at = "seed %d, at %d ms".formatted(seed, fleet.now() / 1_000_000);
        assertThat(fleet.describeDoubleHolding()).as(at).isEmpty();
        for (VirtualKeys.Host host : fleet.hosts()) {
            if (host.server() != null) {
                host.server().heldKeys(fleet.now()).forEach(keys -> checkTokens(host.server(), keys, at));
            }
        }
    }

    private void checkTokens(VirtualServer server, GrantedKeys keys, String at) {
        for (int key = 0; key <= KeyRange.MAX_KEY; key += KEY_STEP) {
            if (keys.range().contains(key)) {
                Token highest = tokens.get(key);
                Token token = new Token(keys.epoch(), server.incarnation());
                if (highest == null || token.epoch() > highest.epoch()) {
                    tokens.put(key, token);
                } else {
                    assertThat(token).as("key %d, %s", key, at).isEqualTo(highest);
                }
            }
        }
    }

    @Test
    void should_assign_keys_as_soon_as_in_era_zero_when_the_first_era_of_the_store_is_a_later_one() {
        // given
        VirtualKeys fleet = new VirtualKeys(1, 4);
        fleet.restoreStore(fleet.copyStore());

        // when
        fleet.run(5_000, () -> {});

        // then
        assertThat(fleet.unheldKeyCount()).isZero();
    }

    @Test
    void should_go_on_granting_keys_when_the_store_comes_back_from_an_older_copy() {
        // given
        VirtualKeys fleet = new VirtualKeys(1, 4);
        VirtualRows.Copy empty = fleet.copyStore();
        fleet.run(15_000, () -> {});
        long epoch = fleet.storedMap().lastEpoch();
        assertThat(fleet.unheldKeyCount()).isZero();

        // when
        fleet.restoreStore(empty);

        // then
        fleet.run(30_000, () -> assertThat(fleet.unheldKeyCount())
                .as("at %d ms", fleet.now() / 1_000_000)
                .isZero());
        assertThat(fleet.storedMap().lastEpoch()).isGreaterThan(epoch);
        assertThat(fleet.storedMap().isSettledIn(1)).isTrue();
    }
}
