package org.verbenamast.core.fleet;

import java.util.SplittableRandom;

/** A fault that a test injects into a fleet at a random time. */
enum Fault {
    PAUSE {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.pause(anyNode(fleet, random), random.nextLong(100, 4_000));
        }
    },
    KILL {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.kill(anyNode(fleet, random));
        }
    },
    CUT_ONE_WAY {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            int to = random.nextInt(fleet.nodes.size());
            cutTemporarily(fleet, from, to, random);
        }
    },
    CUT_BOTH_WAYS {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            int to = random.nextInt(fleet.nodes.size());
            cutTemporarily(fleet, from, to, random);
            cutTemporarily(fleet, to, from, random);
        }
    },
    ISOLATE {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            for (int to = 0; to < fleet.nodes.size(); to++) {
                cutTemporarily(fleet, from, to, random);
                cutTemporarily(fleet, to, from, random);
            }
        }
    },
    CUT_FROM_STORE {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            int index = random.nextInt(fleet.nodes.size());
            cutTemporarily(fleet, index, VirtualLinks.STORE, random);
        }
    },
    CUT_STORE_REPLIES {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            int index = random.nextInt(fleet.nodes.size());
            cutTemporarily(fleet, VirtualLinks.STORE, index, random);
        }
    },
    STORE_DOWN {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.storeDown = true;
            fleet.schedule(fleet.now() + randomDurationNanos(random), () -> fleet.links.storeDown = false);
        }
    },
    STORE_REFUSES {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.storeUnavailable = true;
            fleet.schedule(fleet.now() + randomDurationNanos(random), () -> fleet.links.storeUnavailable = false);
        }
    },
    MESSAGE_LOSS {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.lossProbability = random.nextDouble(0.6);
            fleet.links.storeLossProbability = random.nextDouble(0.5);
        }
    },
    DUPLICATES_AND_DELAYS {
        @Override
        void inject(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.duplicateProbability = random.nextDouble(0.5);
            fleet.links.extraDelayProbability = random.nextDouble(0.4);
        }
    };

    private static final long MIN_DURATION_MILLIS = 200;
    private static final long MAX_DURATION_MILLIS = 4_000;

    abstract void inject(VirtualFleet fleet, SplittableRandom random);

    private static VirtualNode anyNode(VirtualFleet fleet, SplittableRandom random) {
        return fleet.nodes.get(random.nextInt(fleet.nodes.size()));
    }

    private static long randomDurationNanos(SplittableRandom random) {
        return VirtualNode.millisToNanos(random.nextLong(MIN_DURATION_MILLIS, MAX_DURATION_MILLIS));
    }

    private static void cutTemporarily(VirtualFleet fleet, int from, int to, SplittableRandom random) {
        fleet.links.cut(from, to);
        fleet.schedule(fleet.now() + randomDurationNanos(random), () -> fleet.links.restore(from, to));
    }
}
