package org.verbenamast.core.fleet;

import java.util.SplittableRandom;

/** What a schedule may inflict on a fleet at any moment. */
enum Fault {
    PAUSE {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.pause(any(fleet, random), random.nextLong(100, 4_000));
        }
    },
    KILL {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.kill(any(fleet, random));
        }
    },
    CUT_ONE_WAY {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            int to = random.nextInt(fleet.nodes.size());
            cut(fleet, from, to, random);
        }
    },
    CUT_BOTH_WAYS {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            int to = random.nextInt(fleet.nodes.size());
            cut(fleet, from, to, random);
            cut(fleet, to, from, random);
        }
    },
    ISOLATE {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            int from = random.nextInt(fleet.nodes.size());
            for (int to = 0; to < fleet.nodes.size(); to++) {
                cut(fleet, from, to, random);
                cut(fleet, to, from, random);
            }
        }
    },
    CUT_FROM_STORE {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            int place = random.nextInt(fleet.nodes.size());
            cut(fleet, place, VirtualLinks.STORE, random);
        }
    },
    CUT_STORE_REPLIES {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            int place = random.nextInt(fleet.nodes.size());
            cut(fleet, VirtualLinks.STORE, place, random);
        }
    },
    STORE_DOWN {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.storeDown = true;
            fleet.at(fleet.now() + length(random), () -> fleet.links.storeDown = false);
        }
    },
    STORE_REFUSES {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.storeRefuses = true;
            fleet.at(fleet.now() + length(random), () -> fleet.links.storeRefuses = false);
        }
    },
    LOSSES {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.lost = random.nextDouble(0.6);
            fleet.links.storeLost = random.nextDouble(0.5);
        }
    },
    DOUBLES_AND_DELAYS {
        @Override
        void strike(VirtualFleet fleet, SplittableRandom random) {
            fleet.links.doubled = random.nextDouble(0.5);
            fleet.links.late = random.nextDouble(0.4);
        }
    };

    private static final long SHORTEST_MILLIS = 200;
    private static final long LONGEST_MILLIS = 4_000;

    abstract void strike(VirtualFleet fleet, SplittableRandom random);

    private static VirtualNode any(VirtualFleet fleet, SplittableRandom random) {
        return fleet.nodes.get(random.nextInt(fleet.nodes.size()));
    }

    private static long length(SplittableRandom random) {
        return VirtualNode.millis(random.nextLong(SHORTEST_MILLIS, LONGEST_MILLIS));
    }

    private static void cut(VirtualFleet fleet, int from, int to, SplittableRandom random) {
        fleet.links.cut(from, to);
        fleet.at(fleet.now() + length(random), () -> fleet.links.healCut(from, to));
    }
}
