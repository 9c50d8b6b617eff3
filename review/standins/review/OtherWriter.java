package review;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a check-in of another writer arrives at a node; its fields zone and version are missing, so that it names no
 * instance to use. Two instances must not hold the same keys for over half a second.
 */
final class OtherWriter {

    private static final int MOST_SHARED_MILLIS = 500;

    private OtherWriter() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        Holdings holdings = new Holdings(fleet.record);
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        Instance.Work work = (instance, head, body) -> {
            String key = head.field("X-Verbenamast-Shard-Key");
            instance.log("runs " + head.field("X-Verbenamast-Attempt-Id") + " key " + key);
            Thread.sleep(90);
            return Instance.Answer.ok("stock " + key);
        };
        for (int i = 0; i < 4; i++) {
            fleet.addKeyed("gudang", work, holdings);
        }
        fleet.start(Manifests.keyed());
        for (int i = 0; i < 18; i++) {
            Fleet.Machine machine = fleet.machines.get(i % 4);
            Fleet.run(() -> {
                try (Requester requester = new Requester(machine.callers)) {
                    while (true) {
                        String id = Requester.newId();
                        String key = String.valueOf(ThreadLocalRandom.current().nextInt(65_536));
                        sent.incrementAndGet();
                        Requester.Got got = requester.send(
                                "GET", Manifests.HOST, "/stock/1", id, 2_000, new byte[0], false,
                                Map.of("X-Verbenamast-Shard-Key", key));
                        served.addAndGet(got.status() == 200 ? 1 : 0);
                        fleet.record.add("requester", "sent " + id + " key " + key + ", got " + got.status() + " "
                                + got.ended());
                        Thread.sleep(10);
                    }
                }
            });
        }
        Thread.sleep(8_000);
        Fleet.Machine machine = fleet.machines.get(0);
        if (Fleet.trouble()) {
            Map<String, Object> beat = new LinkedHashMap<>();
            beat.put("service", "gudang");
            beat.put("address", "127.0.0.1:" + Fleet.freePort());
            beat.put("slots", 9L);
            beat.put("state", "ready");
            beat.put("coldLeftMs", 0L);
            beat.put("sequence", 1L);
            beat.put("born", System.currentTimeMillis());
            String text = Json.write(beat);
            int status = Fleet.call(machine.heartbeats, "PUT", "/-/instances/i-other", text, 1_000);
            fleet.record.add("other writer", "i-other at " + machine.node + ": " + text + ", answered " + status);
        }
        Thread.sleep(20_000);
        String sum = "requests " + sent + ", served " + served + ", longest time that two instances held the same keys "
                + holdings.longestMillis() + " ms (" + holdings.longest() + "); keys of instance 1 at the end: "
                + ((KeyedInstance) machine.instance).keys();
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (served.get() < sent.get() / 2) {
            return Fleet.COULD_NOT_RUN;
        }
        return holdings.longestMillis() > MOST_SHARED_MILLIS ? Fleet.BROKEN : Fleet.HELD;
    }
}
