package org.verbenamast.core.fleet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

class FleetScheduleTest {

    private static final long SETTLED_MILLIS = 2_500;
    private static final long FAULTS_MILLIS = 4_000;
    private static final long BOUND_MILLIS = 20_000;

    @Property(tries = 10_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void should_keep_one_owner_and_serve_again_when_anything_fails(@ForAll long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3 + (int) (seed & 1), 2);
        try {
            fleet.runUntil(VirtualNode.millis(SETTLED_MILLIS));
            strike(fleet);
            fleet.runUntil(VirtualNode.millis(SETTLED_MILLIS + FAULTS_MILLIS));
            fleet.links.heal();
            fleet.note("healed");
            long bound = VirtualNode.millis(SETTLED_MILLIS + FAULTS_MILLIS + BOUND_MILLIS);
            assertThat(fleet.runUntilServed(bound))
                    .as("all slices are served again")
                    .isTrue();
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + fleet.trace(), e);
        }
    }

    private static void strike(VirtualFleet fleet) {
        int faults = fleet.random.nextInt(1, 7);
        for (int i = 0; i < faults; i++) {
            Fault fault = Fault.values()[fleet.random.nextInt(Fault.values().length)];
            long at = fleet.now() + VirtualNode.millis(fleet.random.nextLong(FAULTS_MILLIS));
            fleet.at(at, () -> {
                fleet.note(fault.name());
                fault.strike(fleet, fleet.random);
            });
        }
    }
}
