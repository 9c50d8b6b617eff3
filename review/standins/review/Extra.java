package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a faulty instance sends the beginning of a copy of its answer after the complete answer. No requester may get a
 * success where the instance answered its request with a failure.
 */
final class Extra {

    private static final int REQUESTERS = 34;
    private static final int SECONDS = 50;
    /** Garbled answers come in spells of five seconds each. */
    private static final double SPELL_S = 5;
    private static final int WORK_MILLIS = 120;
    private static final double GARBLED_SHARE = 0.03;
    private static final double FAILED_SHARE = 0.1;
    /** The copy breaks off in the value of its first header field. */
    private static final int EXTRA_BYTES = 36;

    private Extra() {}

    public static void main(String[] args) {
        Path folder = Path.of(args[0]);
        Fleet.main(() -> play(folder));
    }

    private static int play(Path folder) throws Exception {
        Fleet fleet = new Fleet(folder);
        Map<String, Integer> given = new ConcurrentHashMap<>();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger garbled = new AtomicInteger();
        AtomicInteger failures = new AtomicInteger();
        Random luck = new Random(1);
        long[] from = {System.nanoTime()};
        Instance.Work work = (instance, head, body) -> {
            String id = head.field("X-Verbenamast-Attempt-Id");
            double work1;
            double work2;
            synchronized (luck) {
                work1 = luck.nextDouble();
                work2 = luck.nextDouble();
            }
            Thread.sleep(WORK_MILLIS);
            boolean failed = work1 < FAILED_SHARE;
            boolean faulty = instance.name.equals("1") || instance.name.equals("2");
            boolean spell = (long) ((System.nanoTime() - from[0]) / 1e9 / SPELL_S) % 2 == 1;
            boolean garble = Fleet.trouble() && faulty && spell && !failed && work2 < GARBLED_SHARE;
            Instance.Answer answer = failed ? Instance.Answer.failed() : Instance.Answer.ok("booked " + id);
            given.put(id, answer.status());
            failures.addAndGet(failed ? 1 : 0);
            garbled.addAndGet(garble ? 1 : 0);
            instance.log("ran " + id + ", answers " + answer.status() + (garble ? ", with extra bytes after it" : ""));
            if (!garble) {
                return answer;
            }
            byte[] copy = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            return answer.followedBy(Arrays.copyOf(copy, EXTRA_BYTES));
        };
        for (int i = 0; i < 4; i++) {
            fleet.add("jadwal", work);
        }
        fleet.start(Manifests.plain());
        from[0] = System.nanoTime();
        long until = System.nanoTime() + SECONDS * 1_000_000_000L;
        Thread[] threads = new Thread[REQUESTERS];
        for (int i = 0; i < REQUESTERS; i++) {
            Fleet.Machine machine = fleet.machines.get(i % fleet.machines.size());
            threads[i] = Fleet.run(() -> {
                try (Requester requester = new Requester(machine.callers)) {
                    while (System.nanoTime() < until) {
                        String id = Requester.newId();
                        sent.incrementAndGet();
                        Requester.Got got = requester.send(
                                "POST", Manifests.HOST, "/order/a", id, 2_500, "one slot".getBytes(), false);
                        served.addAndGet(got.status() == 200 ? 1 : 0);
                        boolean signed = got.head() != null
                                && got.head().field("X-Verbenamast-Response-Signature") != null;
                        boolean bad = got.status() == 200 && given.get(id) != 200;
                        wrong.addAndGet(bad ? 1 : 0);
                        fleet.record.add("requester", "sent " + id + " at " + machine.node + ", got " + got.status()
                                + (signed ? " signed " : " ") + new String(got.body()) + got.ended()
                                + (bad ? " BUT THE INSTANCE ANSWERED " + given.get(id) : ""));
                    }
                }
            });
        }
        for (Thread thread : threads) {
            thread.join();
        }
        String sum = "sent " + sent + ", answered 200 " + served + ", failures of instances " + failures
                + ", answers with extra bytes " + garbled + ", successes where the instance failed " + wrong;
        fleet.record.add("case", sum);
        System.out.println(sum);
        if (served.get() < sent.get() / 2) {
            return Fleet.COULD_NOT_RUN;
        }
        return wrong.get() > 0 ? Fleet.BROKEN : Fleet.HELD;
    }
}
