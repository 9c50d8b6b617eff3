package org.verbenamast.core.tenant;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.IntSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.verbenamast.core.manifest.Tenant;

import static org.assertj.core.api.Assertions.assertThat;

/** Caps over 80 nodes, on virtual time. */
class CapControllerTest {

    private static final int NODES = 80;
    private static final int WARM_UP_MILLIS = 6_000;
    private static final int TEST_MILLIS = 60_000;
    /** What the tenant's callers ask for: twice the cap of 100 requests a second. */
    private static final double REQUESTS_PER_MILLI = 0.2;
    /** (100/s x 5 s + 100) x 1.1 + 20. */
    private static final int BOUND = 680;

    private static final long WINDOW_NANOS = 5_000 * CapFleet.MILLI;

    private final CapFleet fleet = new CapFleet(NODES, true);
    private final Random random = new Random(7);

    /** What fails while the tenant asks for more than its cap. */
    private enum Trouble {
        NONE,
        BANK_LOST {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli == 20_000) {
                    fleet.stopped.add(fleet.bank());
                }
            }
        },
        BANK_RESTARTED {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli == 20_000) {
                    fleet.start(fleet.bank());
                }
            }
        },
        ALL_RESTARTED_IN_TURN {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli >= 20_000 && milli < 20_000 + 80 * 200 && milli % 200 == 0) {
                    fleet.start((milli - 20_000) / 200);
                }
            }
        },
        ONE_NODE_CUT_OFF {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli == 20_000) {
                    fleet.cut.add(fleet.bank());
                }
                if (milli == 30_000) {
                    fleet.cut.clear();
                }
            }
        },
        ALL_RESTARTED_AT_ONCE {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli == 20_000) {
                    for (int node = 0; node < NODES; node++) {
                        fleet.start(node);
                    }
                }
            }
        },
        /** Each half keeps to its half of the cap, and the demand is mostly in one of them. */
        HALF_CUT_OFF(0.8) {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli == 20_000) {
                    for (int node = 0; node < NODES / 2; node++) {
                        fleet.cut.add(node);
                    }
                }
                if (milli == 30_000) {
                    fleet.cut.clear();
                }
            }
        },
        CUT_COMES_AND_GOES(0) {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli % 700 == 0) {
                    fleet.cut.clear();
                    if (milli % 1_400 == 0) {
                        fleet.cut.add(fleet.bank());
                    }
                }
            }
        },
        VIEWS_DIFFER {
            @Override
            void at(int milli, CapFleet fleet) {
                if (milli % 1_000 == 0) {
                    int bank = fleet.bank();
                    for (int node = 0; node < NODES; node += 2) {
                        fleet.roster(node).remove("node-" + bank);
                    }
                }
            }
        };

        /** Least part of the cap that is used while it lasts. */
        private final double leastUsed;

        Trouble() {
            this(0.9);
        }

        Trouble(double leastUsed) {
            this.leastUsed = leastUsed;
        }

        void at(int milli, CapFleet fleet) {}
    }

    private void run(int millis, double perMilli, IntSupplier place, Trouble trouble) {
        for (int milli = 0; milli < millis; milli++) {
            trouble.at(milli, fleet);
            fleet.step();
            if (random.nextDouble() < perMilli) {
                fleet.request(place.getAsInt());
            }
        }
    }

    /** Demand that is at three nodes, and at three others two seconds later. */
    private int moving() {
        long period = fleet.now() / (2_000 * CapFleet.MILLI);
        return (int) ((period * 31 + random.nextInt(3) * 17) % NODES);
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void should_stay_within_the_cap_and_use_it_when_demand_moves(Trouble trouble) {
        // given
        run(WARM_UP_MILLIS, 0, () -> 0, Trouble.NONE);
        long from = fleet.now();

        // when
        run(TEST_MILLIS, REQUESTS_PER_MILLI, this::moving, trouble);

        // then
        double used = fleet.grantedBetween(from, fleet.now()) / (100.0 * TEST_MILLIS / 1_000);
        assertThat(fleet.mostGranted(WINDOW_NANOS, 0)).isLessThanOrEqualTo(BOUND);
        assertThat(used).isGreaterThanOrEqualTo(trouble.leastUsed);
    }

    @Test
    void should_grant_the_burst_and_no_more_than_the_bound_when_many_come_at_once_at_all_nodes() {
        // given
        run(WARM_UP_MILLIS, 0, () -> 0, Trouble.NONE);
        long from = fleet.now();

        // when
        run(20_000, 1, () -> random.nextInt(NODES), Trouble.NONE);

        // then
        assertThat(fleet.grantedBetween(from, from + 1_000 * CapFleet.MILLI)).isGreaterThanOrEqualTo(180);
        assertThat(fleet.mostGranted(WINDOW_NANOS, 0)).isLessThanOrEqualTo(BOUND);
    }

    @Test
    void should_serve_all_that_comes_when_a_small_tenant_stays_below_its_cap() {
        // given
        fleet.putManifest(new Tenant("t", List.of(), OptionalInt.empty(), 6, 6));
        run(WARM_UP_MILLIS, 0, () -> 0, Trouble.NONE);

        // when
        for (int each = 0; each < 200; each++) {
            run(random.nextInt(400), 0, () -> 0, Trouble.NONE);
            fleet.request(random.nextInt(NODES));
        }
        run(1_000, 0, () -> 0, Trouble.NONE);

        // then
        assertThat(fleet.granted).hasSize(200);
        assertThat(fleet.refused).isZero();
    }

    @Test
    void should_bind_a_lower_cap_within_a_window_when_a_manifest_sets_one() {
        // given
        run(WARM_UP_MILLIS, REQUESTS_PER_MILLI, this::moving, Trouble.NONE);

        // when
        fleet.putManifest(new Tenant("t", List.of(), OptionalInt.empty(), 10, 0));
        long from = fleet.now();
        run(20_000, REQUESTS_PER_MILLI, this::moving, Trouble.NONE);

        // then: (10/s x 5 s) x 1.1 + 20
        assertThat(fleet.mostGranted(WINDOW_NANOS, from)).isLessThanOrEqualTo(75);
    }

    @Test
    void should_spend_only_the_own_share_when_nodes_are_not_connected() {
        // given
        CapFleet apart = new CapFleet(NODES, false);

        // when
        for (int milli = 0; milli < 20_000; milli++) {
            apart.step();
            for (int each = 0; each < 5; each++) {
                apart.request(random.nextInt(NODES));
            }
        }

        // then
        assertThat(apart.mostGranted(WINDOW_NANOS, 0)).isLessThanOrEqualTo(BOUND);
        assertThat(apart.grantedBetween(5_000 * CapFleet.MILLI, apart.now())).isGreaterThanOrEqualTo(1_350);
    }

    @Test
    void should_refuse_tokens_that_no_bank_can_have_when_a_peer_grants_too_much() {
        // given
        run(WARM_UP_MILLIS, 0.01, () -> 0, Trouble.NONE);
        CapController node = fleet.node(0);
        CapGrant.Tokens tokens = new CapGrant.Tokens("t", 1_000_000, 1, 0);

        // when
        for (long number = 0; number < 1_000; number++) {
            node.onGrant(new CapGrant("node-1", number, 1, CapStamp.NONE, List.of(tokens)), fleet.now(), effect -> {});
        }

        // then
        assertThat(node.status(fleet.now()).usage().get("t").tokens()).isLessThan(200);
    }

    @Test
    void should_send_nothing_when_no_tenant_has_a_rate() {
        // given
        fleet.putManifest(new Tenant("t", List.of(), OptionalInt.empty(), 0, 0));
        fleet.messages = 0;

        // when
        run(5_000, REQUESTS_PER_MILLI, this::moving, Trouble.NONE);

        // then
        assertThat(fleet.messages).isZero();
        assertThat(fleet.refused + fleet.held).isZero();
    }
}
