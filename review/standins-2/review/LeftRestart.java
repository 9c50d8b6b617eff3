package review;

/**
 * DRAIN: a node confirms that the instance beside it leaves, and is stopped and started. A check-in that the instance
 * sent before arrives after that. The confirmation still binds: the instance must not get requests again.
 */
final class LeftRestart {

    /** How long the instance serves after the confirmation; "and a little longer (at times many seconds)". */
    private static final int SERVES_MS = 7_000;

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
            long inTouch = 0;
            if (trouble) {
                Threads.sleep(200);
                node.kill();
                Threads.sleep(300);
                inTouch = Recorder.now() + Node.CONTACT_MS;
                node.start();
                node.awaitListening();
                Threads.sleep(inTouch - Recorder.now());
                byte[] answer = Wire.call(node.ip, node.control, late, 1_000);
                record.write("the late check-in of %s arrives; the answer is %s", leaver.id, new String(answer)
                        .lines().findFirst().orElse("none"));
            }
            Threads.sleep(confirmed + SERVES_MS - Recorder.now());
            leaver.close();
            Threads.sleep(2_000);
            orders.stop();
            // Nodes 2 and 3, which take and send the requests, are in touch all the time, node 1 from then on.
            return orders.check(record, leaver, Math.max(confirmed + Node.DRAIN_MS, inTouch));
        }
    }
}
