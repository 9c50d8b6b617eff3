package review;

/**
 * DRAIN: a check-in that an instance sent before it announced that it leaves arrives some seconds after the node has
 * confirmed the leave. The instance must not get requests again.
 */
final class LeftInUse {

    /** How late the check-in is; "a check-in may arrive seconds late". */
    private static final int LATE_MS = 5_000;
    /** How long the instance serves after the confirmation; "and a little longer (at times many seconds)". */
    private static final int SERVES_MS = 9_000;

    boolean holds(Recorder record, boolean trouble) throws Exception {
        try (Deployment fleet = new Deployment(record, Deployment.PLAIN, 3)) {
            Node node = fleet.nodes.get(0);
            Instance leaver = fleet.startInstance("i-a0", node, false, 210, 400);
            fleet.startInstance("i-b0", fleet.nodes.get(1), false, 210, 400);
            fleet.startInstance("i-c0", fleet.nodes.get(2), false, 210, 400);
            fleet.awaitReady();
            Orders orders = new Orders(fleet, fleet.nodes.subList(1, 3), 3);
            Deployment.await("all instances run requests", 30, () -> fleet.instances.stream()
                    .allMatch(each -> each.runs.size() > 5));

            String late = leaver.checkIn("ready");
            record.write("a check-in of %s is held up on its way", leaver.id);
            long confirmed = leaver.leave();
            Threads.sleep(LATE_MS);
            if (trouble) {
                byte[] answer = Wire.call(node.ip, node.control, late, 1_000);
                record.write("the late check-in of %s arrives; the answer is %s", leaver.id, new String(answer)
                        .lines().findFirst().orElse("none"));
            }
            Threads.sleep(confirmed + SERVES_MS - Recorder.now());
            leaver.close();
            Threads.sleep(2_000);
            orders.stop();
            return orders.check(record, leaver, confirmed + Node.DRAIN_MS);
        }
    }
}
