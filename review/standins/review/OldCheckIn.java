package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a check-in of an instance's earlier boot arrives late, at a node that has just been stopped and started again. Two
 * instances must not hold the same keys for over half a second.
 */
final class OldCheckIn {

    private static final int BEAT_MILLIS = 1_500;
    private static final int MOST_SHARED_MILLIS = 500;
    private static final int MANY_REQUESTERS = 18;
    private static final int FEW_REQUESTERS = 5;
    private static final int DOWN_MILLIS = 1_000;
    private static final int ENOUGH_KEYS = 10_000;
    private static final int MOST_TRIES = 6;
    private static final int STEADY_MILLIS = 2_000;
    private static final int RESTART_MILLIS = 200;

    private OldCheckIn() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet.beatMillis = BEAT_MILLIS;
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
        AtomicInteger requesters = new AtomicInteger(MANY_REQUESTERS);
        for (int i = 0; i < MANY_REQUESTERS; i++) {
            int number = i;
            Fleet.Machine own = fleet.machines.get(1 + i % 3);
            Fleet.run(() -> {
                try (Requester requester = new Requester(own.callers)) {
                    while (true) {
                        if (number >= requesters.get()) {
                            Thread.sleep(20);
                            continue;
                        }
                        String id = Requester.newId();
                        String key = String.valueOf(ThreadLocalRandom.current().nextInt(65_536));
                        sent.incrementAndGet();
                        Requester.Got got = requester.send(
                                "GET", Manifests.HOST, "/stock/1", id, 2_000, new byte[0], false,
                                java.util.Map.of("X-Verbenamast-Shard-Key", key));
                        served.addAndGet(got.status() == 200 ? 1 : 0);
                        fleet.record.add("requester", "sent " + id + " key " + key + ", got " + got.status() + " "
                                + got.ended());
                        Thread.sleep(10);
                    }
                }
            });
        }
        Fleet.Machine machine = fleet.machines.get(0);
        KeyedInstance instance = (KeyedInstance) machine.instance;
        awaitKeys(instance, "its first boot");
        Thread.sleep(5_000);

        instance.beating = false;
        String oldPath = "/-/instances/" + instance.id;
        String oldBeat = instance.beat("ready");
        fleet.record.add(instance.log, "sends a check-in that is held up: " + instance.id + " " + oldBeat);
        instance.crash();
        fleet.record.add(instance.log, "crashes");
        Thread.sleep(DOWN_MILLIS);
        instance.start();
        fleet.record.add(instance.log, "is back as " + instance.id);
        for (int tries = 0; tries == 0 || !holdsSteadily(instance); tries++) {
            if (tries == MOST_TRIES) {
                throw new IOException("the second boot does not hold keys for long enough");
            }
            requesters.set(MANY_REQUESTERS);
            awaitKeys(instance, "its second boot");
            requesters.set(FEW_REQUESTERS);
            fleet.record.add("case", "the load falls, so that no keys move on account of it");
        }

        fleet.record.add(machine.node, "gets SIGTERM");
        machine.process.destroy();
        machine.process.waitFor(8, TimeUnit.SECONDS);
        fleet.record.add(machine.node, "has ended");
        Thread.sleep(RESTART_MILLIS);
        fleet.startNode(machine);
        while (Fleet.trouble()) {
            try {
                int status = Fleet.call(machine.heartbeats, "PUT", oldPath, oldBeat, 1_000);
                fleet.record.add(machine.node, "the check-in of the earlier boot has arrived, answered " + status);
                break;
            } catch (IOException e) {
                Thread.sleep(20);
            }
        }
        Thread.sleep(12_000);
        String sum = "requests " + sent + ", served " + served + ", longest time that two instances held the same keys "
                + holdings.longestMillis() + " ms (" + holdings.longest() + ")";
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (served.get() < sent.get() / 2) {
            return Fleet.COULD_NOT_RUN;
        }
        return holdings.longestMillis() > MOST_SHARED_MILLIS ? Fleet.BROKEN : Fleet.HELD;
    }

    private static boolean holdsSteadily(KeyedInstance instance) throws InterruptedException {
        boolean holds = true;
        for (int millis = 0; millis < STEADY_MILLIS; millis += 20) {
            Thread.sleep(20);
            holds &= instance.keys() >= ENOUGH_KEYS;
        }
        return holds;
    }

    private static void awaitKeys(KeyedInstance instance, String which) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
        while (instance.keys() < ENOUGH_KEYS) {
            if (System.nanoTime() > until) {
                throw new IOException(which + " gets no keys");
            }
            Thread.sleep(50);
        }
    }
}
