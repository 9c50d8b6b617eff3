package review;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: an instance leaves by DELETE, and a check-in that it sent before arrives seconds late. No request may reach it
 * later than drainMs after the confirmation of its leaving.
 */
final class LateCheckIn {

    private static final int SECONDS = 20;
    private static final int LATE_MILLIS = 4_600;
    private static final long DRAIN_NANOS = 2_000_000_000L;
    private static final int SERVES_ON_MILLIS = 7_000;

    private LateCheckIn() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        long[] leftAt = {Long.MAX_VALUE};
        AtomicInteger late = new AtomicInteger();
        Instance.Work work = (instance, head, body) -> {
            String id = head.field("X-Verbenamast-Attempt-Id");
            long after = System.nanoTime() - leftAt[0];
            boolean isLate = instance.name.equals("1") && leftAt[0] != Long.MAX_VALUE && after > DRAIN_NANOS;
            if (isLate) {
                late.incrementAndGet();
            }
            if (instance.name.equals("1")) {
                instance.log("runs " + id + (isLate ? " LATER THAN drainMs AFTER ITS LEAVING WAS CONFIRMED" : ""));
            }
            Thread.sleep(120);
            return Instance.Answer.ok("booked");
        };
        for (int i = 0; i < 4; i++) {
            fleet.add("jadwal", work);
        }
        fleet.start(Manifests.plain());
        Instance leaving = fleet.machines.get(0).instance;
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        AtomicInteger orders = new AtomicInteger();
        AtomicInteger unknown = new AtomicInteger();
        for (int i = 0; i < 30; i++) {
            Fleet.Machine machine = fleet.machines.get(i % 4);
            Fleet.run(() -> {
                try (Requester requester = new Requester(machine.callers)) {
                    while (System.nanoTime() < until) {
                        String id = Requester.newId();
                        orders.incrementAndGet();
                        Requester.Got got = requester.send(
                                "POST", Manifests.HOST, "/order/1", id, 2_500, "one slot".getBytes(), false);
                        if (got.status() != 200) {
                            unknown.addAndGet(got.status() == 503 ? 0 : 1);
                            fleet.record.add("requester", "order " + id + " got " + got.status() + " " + got.ended());
                        }
                    }
                }
            });
        }
        Thread.sleep(3_000);
        leaving.beating = false;
        Thread.sleep(1_000);
        if (Fleet.trouble()) {
            String beat = leaving.beat("ready");
            fleet.record.add(leaving.log, "sends a check-in that arrives " + LATE_MILLIS + " ms late: " + beat);
            String path = "/-/instances/" + leaving.id;
            Fleet.run(() -> {
                Thread.sleep(LATE_MILLIS);
                int status = Fleet.call(leaving.heartbeats, "PUT", path, beat, 1_000);
                fleet.record.add(leaving.log, "the late check-in has arrived, answered " + status);
            });
        }
        Thread.sleep(100);
        int status = Fleet.call(leaving.heartbeats, "DELETE", "/-/instances/" + leaving.id, "", 1_000);
        leftAt[0] = System.nanoTime();
        fleet.record.add(leaving.log, "DELETE answered " + status + ": its leaving is confirmed");
        Thread.sleep(SERVES_ON_MILLIS);
        leaving.crash();
        fleet.record.add(leaving.log, "exits");
        Thread.sleep(Math.max(0, (until - System.nanoTime()) / 1_000_000) + 500);
        String sum = "orders " + orders + ", without a known result " + unknown
                + ", runs later than drainMs after the confirmation " + late;
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (orders.get() < 500 || status != 200) {
            return Fleet.COULD_NOT_RUN;
        }
        return late.get() > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
