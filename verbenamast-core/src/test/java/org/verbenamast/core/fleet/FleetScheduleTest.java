package org.verbenamast.core.fleet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.assertj.core.api.Assertions.assertThat;

class FleetScheduleTest {

    private static final long STARTUP_MILLIS = 2_500;
    private static final long FAULT_WINDOW_MILLIS = 4_000;
    private static final long RECOVERY_LIMIT_MILLIS = 20_000;

    @Property(tries = 10_000, seed = "4711", shrinking = ShrinkingMode.OFF)
    void should_keep_one_owner_and_serve_again_when_anything_fails(@ForAll long seed) {
        VirtualFleet fleet = new VirtualFleet(seed, 3 + (int) (seed & 1), 2);
        try {
            fleet.runUntil(VirtualNode.millisToNanos(STARTUP_MILLIS));
            scheduleFaults(fleet);
            fleet.runUntil(VirtualNode.millisToNanos(STARTUP_MILLIS + FAULT_WINDOW_MILLIS));
            fleet.links.restoreAll();
            fleet.addTrace("all faults removed");
            long limit = VirtualNode.millisToNanos(STARTUP_MILLIS + FAULT_WINDOW_MILLIS + RECOVERY_LIMIT_MILLIS);
            assertThat(fleet.runUntilServed(limit))
                    .as("all slices are served again")
                    .isTrue();
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage() + "\n" + fleet.trace(), e);
        }
    }

    private static void scheduleFaults(VirtualFleet fleet) {
        int faults = fleet.random.nextInt(1, 7);
        for (int i = 0; i < faults; i++) {
            Fault fault = Fault.values()[fleet.random.nextInt(Fault.values().length)];
            long at = fleet.now() + VirtualNode.millisToNanos(fleet.random.nextLong(FAULT_WINDOW_MILLIS));
            fleet.schedule(at, () -> {
                fleet.addTrace(fault.name());
                fault.inject(fleet, fleet.random);
            });
        }
    }
}
