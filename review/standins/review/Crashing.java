package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: a request crashes each instance that begins to run it, and comes again with the same path, caller and body. Later
 * than contactMs after it has crashed the third instance, it may reach instances in three retries at most.
 */
final class Crashing {

    private static final int SECONDS = 60;
    private static final int AGAIN_MILLIS = 2_500;
    private static final int BACK_MILLIS = 4_000;
    private static final long CONTACT_NANOS = 3_000_000_000L;
    private static final int MOST_RETRIES = 3;
    private static final String PATH = "/order/4711";
    private static final byte[] BODY = "wheel=28in&stall=9".getBytes(StandardCharsets.UTF_8);

    private Crashing() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        AtomicInteger crashes = new AtomicInteger();
        AtomicLong thirdAt = new AtomicLong(Long.MAX_VALUE);
        Map<String, Integer> arrivals = new ConcurrentHashMap<>();
        Map<String, Integer> running = new ConcurrentHashMap<>();
        AtomicInteger lost = new AtomicInteger();
        Instance.Work work = (instance, head, body) -> {
            String id = head.field("X-Verbenamast-Attempt-Id");
            if (head.first.contains(PATH)) {
                arrivals.merge(id, 1, Integer::sum);
                int count = crashes.incrementAndGet();
                if (count == 3) {
                    thirdAt.set(System.nanoTime());
                }
                List<String> with = new ArrayList<>(running.keySet());
                with.removeIf(each -> running.get(each) != Integer.parseInt(instance.name));
                lost.addAndGet(with.size());
                instance.log("begins " + id + " and crashes, the " + count + ". crash; orders at work here: " + with);
                instance.crash();
                Fleet.run(() -> {
                    Thread.sleep(BACK_MILLIS);
                    instance.start();
                    instance.log("is back as " + instance.id);
                });
                throw new IllegalStateException("crashed");
            }
            running.put(id, Integer.parseInt(instance.name));
            instance.log("runs order " + id);
            Thread.sleep(120);
            running.remove(id);
            return Instance.Answer.ok("booked");
        };
        for (int i = 0; i < 6; i++) {
            fleet.add("jadwal", work);
        }
        fleet.start(Manifests.plain());
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        AtomicInteger orders = new AtomicInteger();
        AtomicInteger unknown = new AtomicInteger();
        for (Fleet.Machine machine : fleet.machines) {
            Fleet.run(() -> {
                try (Requester requester = new Requester(machine.callers)) {
                    while (System.nanoTime() < until) {
                        String id = Requester.newId();
                        orders.incrementAndGet();
                        Requester.Got got = requester.send(
                                "POST", Manifests.HOST, "/order/1", id, 2_500, "one slot".getBytes(), false);
                        boolean isUnknown = got.status() == 502 || got.status() == 504 || got.status() == 0;
                        unknown.addAndGet(isUnknown ? 1 : 0);
                        fleet.record.add("requester", "sent order " + id + " at " + machine.node + ", got " + got.status()
                                + " " + got.ended());
                    }
                }
            });
        }
        int late = 0;
        int sent = 0;
        while (System.nanoTime() < until) {
            if (Fleet.trouble()) {
                Fleet.Machine machine = inTouch(fleet);
                String id = Requester.newId();
                long sentAt = System.nanoTime();
                sent++;
                try (Requester requester = new Requester(machine.callers)) {
                    Requester.Got got = requester.send("POST", Manifests.HOST, PATH, id, 2_500, BODY, false);
                    int reached = arrivals.getOrDefault(id, 0);
                    boolean isLate = sentAt > thirdAt.get() + CONTACT_NANOS && thirdAt.get() != Long.MAX_VALUE;
                    late += isLate && reached > 0 ? 1 : 0;
                    fleet.record.add("requester", "sent " + id + " " + PATH + " at " + machine.node + ", got "
                            + got.status() + " " + got.ended() + ", reached instances: " + reached
                            + (isLate ? ", later than contactMs after the third crash" : ""));
                }
            }
            Thread.sleep(AGAIN_MILLIS);
        }
        String sum = "sent the request " + sent + " times, crashes " + crashes
                + ", retries that reached instances later than contactMs after the third crash " + late
                + "; other orders " + orders + ", of them without a known result " + unknown;
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (orders.get() < 500) {
            return Fleet.COULD_NOT_RUN;
        }
        return late > MOST_RETRIES ? Fleet.BROKEN : Fleet.HELD;
    }

    /** Returns the machine whose instance has been up for longest. */
    private static Fleet.Machine inTouch(Fleet fleet) {
        Fleet.Machine best = null;
        for (Fleet.Machine machine : fleet.machines) {
            if (machine.instance.up && (best == null || machine.instance.upSince < best.instance.upSince)) {
                best = machine;
            }
        }
        return best;
    }
}
