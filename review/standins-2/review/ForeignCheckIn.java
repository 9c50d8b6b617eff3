package review;

/**
 * OWNER: a check-in of another writer, with fields missing, arrives at a node. It names no instance to use; the keys of
 * the instance beside the node must not go to others while it holds them.
 */
final class ForeignCheckIn {

    private static final int WORK_MS = 160;
    private static final int AFTER_CHECK_IN_MS = 300;

    boolean holds(Recorder record, boolean trouble) throws Exception {
        try (Deployment fleet = new Deployment(record, Deployment.KEYED, 3)) {
            Node node = fleet.nodes.get(0);
            Instance instance = fleet.startInstance("i-a0", node, true, WORK_MS, 100);
            fleet.startInstance("i-b0", fleet.nodes.get(1), true, WORK_MS, 100);
            fleet.startInstance("i-c0", fleet.nodes.get(2), true, WORK_MS, 100);
            fleet.awaitReady();
            Deployment.await("all keys held", 30, fleet::allKeysHeld);
            Lookups lookups = new Lookups(fleet, fleet.nodes.subList(1, 3));
            Threads.sleep(3_000);

            long beat = instance.lastBeatAt;
            Deployment.await("the next check-in", 5, () -> instance.lastBeatAt != beat);
            Threads.sleep(AFTER_CHECK_IN_MS);
            if (trouble) {
                byte[] answer = Wire.call(node.ip, node.control, instance.checkInOfOther("i-x9"), 1_000);
                record.write("a check-in of another writer arrives at %s; the answer is %s", node.name,
                        new String(answer).lines().findFirst().orElse("none"));
            }
            Threads.sleep(10_000);
            lookups.stop();
            record.write("i-a0 holds %d keys at the end", instance.heldKeys());
            return Owners.check(fleet, record);
        }
    }
}
