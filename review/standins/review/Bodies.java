package review;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.nio.file.Path;

/**
 * Case: an instance that is full answers 503 with X-Verbenamast-Not-Executed to requests with long bodies. Each run of a
 * request must have the body that the requester sent.
 */
final class Bodies {

    private static final int BODY_BYTES = 200_000;
    private static final int PER_SECOND = 20;
    private static final int SECONDS = 16;
    private static final double TROUBLE_FROM_S = 4;
    private static final double TROUBLE_FOR_S = 6.5;
    private static final double SHED_SHARE = 0.45;

    private Bodies() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static String digest(byte[] bytes) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256").digest(bytes);
            return bytes.length + "/" + HexFormat.of().formatHex(sum, 0, 6);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        Map<String, String> sent = new ConcurrentHashMap<>();
        AtomicInteger changed = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger runs = new AtomicInteger();
        AtomicInteger shed = new AtomicInteger();
        Random luck = new Random(1);
        long[] from = {Long.MAX_VALUE};
        Instance.Work work = (instance, head, body) -> {
            String id = head.field("X-Verbenamast-Attempt-Id");
            double at = (System.nanoTime() - from[0]) / 1e9;
            boolean full = instance.name.equals("1") && at >= TROUBLE_FROM_S && at < TROUBLE_FROM_S + TROUBLE_FOR_S;
            synchronized (luck) {
                if (Fleet.trouble() && full && luck.nextDouble() < SHED_SHARE) {
                    shed.incrementAndGet();
                    instance.log("not run, full: " + id);
                    return Instance.Answer.shed();
                }
            }
            String got = digest(body);
            boolean same = got.equals(sent.get(id));
            runs.incrementAndGet();
            if (!same) {
                changed.incrementAndGet();
            }
            instance.log("ran " + id + " " + head.first + " body " + got
                    + (same ? "" : " BUT THE REQUESTER SENT " + sent.get(id)));
            Thread.sleep(120);
            return Instance.Answer.ok("booked " + got);
        };
        for (int i = 0; i < 4; i++) {
            fleet.add("jadwal", work);
        }
        fleet.start(Manifests.plain());
        from[0] = System.nanoTime();
        for (int i = 0; i < PER_SECOND * SECONDS; i++) {
            Fleet.Machine machine = fleet.machines.get(i % fleet.machines.size());
            int number = i;
            Fleet.run(() -> {
                byte[] body = new byte[BODY_BYTES];
                new Random(number).nextBytes(body);
                String id = Requester.newId();
                boolean chunked = number % 3 != 0;
                sent.put(id, digest(body));
                fleet.record.add("requester", "sent " + id + " at " + machine.node + " body " + digest(body)
                        + (chunked ? " in chunks" : " with a length"));
                try (Requester requester = new Requester(machine.callers)) {
                    Requester.Got got =
                            requester.send("POST", Manifests.HOST, "/order/" + number, id, 2_500, body, chunked);
                    if (got.status() == 200) {
                        served.incrementAndGet();
                    }
                    fleet.record.add("requester", "got " + id + " " + got.status() + " "
                            + new String(got.body()) + got.ended());
                }
            });
            Thread.sleep(1_000 / PER_SECOND);
        }
        Thread.sleep(3_000);
        String sum = "sent " + sent.size() + ", answered 200 " + served + ", runs " + runs + ", turned away as full "
                + shed + ", runs with a changed body " + changed;
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (served.get() < sent.size() / 2) {
            return Fleet.COULD_NOT_RUN;
        }
        return changed.get() > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
