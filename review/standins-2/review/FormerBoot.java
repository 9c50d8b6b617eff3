package review;

/**
 * OWNER: a check-in of an instance that has crashed arrives late, after a new boot has registered at its address and
 * after the node has been stopped and started. The keys of the new boot must not go to others while it holds them.
 */
final class FormerBoot {

    private static final int WORK_MS = 160;

    /** When the new process listens, after the last check-in that the former one confirmed, roughly. */
    private static final int UP_AGAIN_MS = 1_750;
    /** "A process that exits or is killed is restarted after a short delay". */
    private static final int DOWN_MS = 100;
    /** How long after the others the new boot checks in. */
    private static final int AFTER_OTHERS_MS = 300;

    boolean holds(Recorder record, boolean trouble) throws Exception {
        try (Deployment fleet = new Deployment(record, Deployment.KEYED, 3)) {
            Node node = fleet.nodes.get(0);
            Instance former = fleet.startInstance("i-a0", node, true, WORK_MS, 100);
            Instance second = fleet.startInstance("i-b0", fleet.nodes.get(1), true, WORK_MS, 100);
            Threads.sleep(80);
            fleet.startInstance("i-c0", fleet.nodes.get(2), true, WORK_MS, 100);
            fleet.awaitReady();
            Deployment.await("all keys held", 30, () -> fleet.allKeysHeld());
            Lookups lookups = new Lookups(fleet, fleet.nodes.subList(1, 3));
            Threads.sleep(2_000);

            String late = former.checkIn("draining");
            record.write("a check-in of %s, which says draining, is held up on its way", former.id);
            former.close();
            Threads.sleep(1_000);
            // Instances check in at times of their own: here the others do so some 0.3 s before the new boot.
            awaitPhase(second.lastBeatAt, AFTER_OTHERS_MS, 1_500);
            Instance present = fleet.startInstance("i-a1", node, true, WORK_MS, 100);
            Deployment.await("the new boot holds keys", 30, () -> present.heldKeys() > 0);
            Deployment.await("all keys held", 30, () -> fleet.allKeysHeld());
            Threads.sleep(1_000);

            // The process is killed and started again between two check-ins of the instance: the one meanwhile finds
            // nobody, and the late one is the first that the new process gets.
            awaitPhase(present.lastBeatAt, UP_AGAIN_MS - DOWN_MS - (int) node.startupMillis(), 2_000);
            node.kill();
            Threads.sleep(DOWN_MS);
            node.start();
            node.awaitListening();
            Threads.sleep(50);
            if (trouble) {
                byte[] answer = Wire.call(node.ip, node.control, late, 1_000);
                record.write("the late check-in of %s arrives; the answer is %s", former.id, new String(answer)
                        .lines().findFirst().orElse("none"));
            }
            Threads.sleep(7_000);
            lookups.stop();
            return Owners.check(fleet, record);
        }
    }

    /** Waits until a time, or one that is later by whole intervals of check-ins, is some milliseconds ago. */
    private static void awaitPhase(long time, int after, int longestMillis) {
        long until = Recorder.now() + longestMillis;
        while (Math.abs(Math.floorMod(Recorder.now() - time, (long) Node.HEARTBEAT_MS) - after) > 10
                && Recorder.now() < until) {
            Threads.sleep(3);
        }
    }
}
