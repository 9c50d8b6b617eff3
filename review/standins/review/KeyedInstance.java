package review;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An instance of a service that is divided by key. It runs a request only while it holds the request's key, releases what
 * an answer leaves out once its work on it has ended, and says so within 100 ms.
 */
final class KeyedInstance extends Instance {

    private static final int RELEASE_BEAT_MILLIS = 60;
    /** A longer answer does not acknowledge a check-in. */
    private static final int MAX_ANSWER_BYTES = 4_096;

    /** Keys under an epoch number; those that are being released have a time at which their hold runs out. */
    private record Held(int from, int to, long epoch, long until) {

        boolean contains(int key) {
            return from <= key && key <= to;
        }

        /** Returns what is left of these keys without a range. */
        List<Held> without(Held other) {
            List<Held> left = new ArrayList<>();
            if (other.to() < from || other.from() > to) {
                left.add(this);
                return left;
            }
            if (from < other.from()) {
                left.add(new Held(from, other.from() - 1, epoch, until));
            }
            if (other.to() < to) {
                left.add(new Held(other.to() + 1, to, epoch, until));
            }
            return left;
        }

        static List<Held> without(List<Held> all, List<Held> others) {
            List<Held> left = all;
            for (Held other : others) {
                left = left.stream().flatMap(each -> each.without(other).stream()).toList();
            }
            return left;
        }

        List<Object> row() {
            return List.of((long) from, (long) to, epoch);
        }

        @Override
        public String toString() {
            return "[" + from + "," + to + "," + epoch + "]";
        }
    }

    private final Holdings holdings;
    private final Map<Integer, Integer> working = new HashMap<>();
    private List<Held> held = new ArrayList<>();
    private List<Held> releasing = new ArrayList<>();
    private final List<Object> freed = new ArrayList<>();
    private long heldUntil;
    private long handovers;

    KeyedInstance(
            String name, String service, String zone, int port, String heartbeats, Record record, Work work,
            Holdings holdings) {
        super(name, service, zone, port, heartbeats, record, null);
        this.holdings = holdings;
        this.work = (instance, head, body) -> {
            int key = Integer.parseInt(head.field("X-Verbenamast-Shard-Key"));
            if (!begin(key)) {
                return new Answer(421, new byte[0], true, new byte[0]);
            }
            try {
                return work.run(instance, head, body);
            } finally {
                end(key);
            }
        };
    }

    private synchronized boolean begin(int key) {
        boolean holds = System.nanoTime() < heldUntil && held.stream().anyMatch(each -> each.contains(key));
        if (holds) {
            working.merge(key, 1, Integer::sum);
        }
        return holds;
    }

    private synchronized void end(int key) {
        working.merge(key, -1, (one, other) -> one + other == 0 ? null : one + other);
    }

    /** Returns how many keys the instance holds. */
    synchronized int keys() {
        return System.nanoTime() >= heldUntil
                ? 0
                : held.stream().mapToInt(each -> each.to() - each.from() + 1).sum();
    }

    @Override
    void start() throws IOException {
        synchronized (this) {
            held = new ArrayList<>();
            releasing = new ArrayList<>();
            freed.clear();
            working.clear();
            heldUntil = 0;
        }
        super.start();
    }

    @Override
    void crash() {
        super.crash();
        synchronized (this) {
            heldUntil = 0;
            report();
        }
    }

    private void report() {
        List<long[]> ranges = new ArrayList<>();
        held.forEach(each -> ranges.add(new long[] {each.from(), each.to(), heldUntil}));
        releasing.forEach(each -> ranges.add(new long[] {each.from(), each.to(), each.until()}));
        holdings.report(id, up ? ranges : List.of());
    }

    @Override
    synchronized String beat(String state) {
        expire();
        List<Held> done = new ArrayList<>();
        for (Held each : releasing) {
            if (working.keySet().stream().noneMatch(each::contains)) {
                done.add(each);
                freed.add(new ArrayList<Object>(List.of(
                        (long) each.from(), (long) each.to(), String.format("%08x%08x", hashCode(), ++handovers))));
            }
        }
        releasing.removeAll(done);
        if (!done.isEmpty()) {
            log("releases " + done);
            report();
        }
        Map<String, Object> beat = Json.object(super.beat(state));
        List<Object> holds = new ArrayList<>();
        held.forEach(each -> holds.add(each.row()));
        releasing.forEach(each -> holds.add(each.row()));
        beat.put("holds", holds);
        beat.put("freed", new ArrayList<>(freed));
        return Json.write(beat);
    }

    private void expire() {
        long now = System.nanoTime();
        if (now >= heldUntil && !held.isEmpty()) {
            log("its hold has run out: " + held);
            held = new ArrayList<>();
        }
        releasing.removeIf(each -> now >= each.until());
    }

    @Override
    void checkIn(String state) {
        boolean again = true;
        while (again && up) {
            long sentAt = System.nanoTime();
            String beat = beat(state);
            String boot = id;
            try {
                Map<String, Object> answer = put(boot, beat);
                again = answer != null && take(answer, sentAt, boot);
            } catch (IOException e) {
                return;
            }
            if (again) {
                Fleet.pause(RELEASE_BEAT_MILLIS);
            }
        }
    }

    private Map<String, Object> put(String boot, String beat) throws IOException {
        HttpURLConnection call = (HttpURLConnection)
                URI.create("http://" + heartbeats + "/-/instances/" + boot).toURL().openConnection();
        call.setRequestMethod("PUT");
        call.setConnectTimeout(1_000);
        call.setReadTimeout(1_000);
        call.setDoOutput(true);
        call.setRequestProperty("Content-Type", "application/json");
        call.getOutputStream().write(beat.getBytes(StandardCharsets.UTF_8));
        if (call.getResponseCode() / 100 != 2) {
            return null;
        }
        try (var in = call.getInputStream()) {
            byte[] bytes = in.readAllBytes();
            if (bytes.length > MAX_ANSWER_BYTES) {
                log("the answer to its check-in has " + bytes.length + " bytes");
                return null;
            }
            return bytes.length == 0 ? Map.of() : Json.object(new String(bytes, StandardCharsets.UTF_8));
        }
    }

    /** Takes an answer to a check-in; returns whether keys are to be released. */
    private synchronized boolean take(Map<String, Object> answer, long sentAt, String boot) {
        if (!up || !boot.equals(id)) {
            return false;
        }
        freed.clear();
        if (!answer.containsKey("holds")) {
            return !releasing.isEmpty();
        }
        long until = sentAt + ((Number) answer.get("holdMs")).longValue() * 1_000_000;
        List<Held> next = new ArrayList<>();
        for (Object each : (List<?>) answer.get("holds")) {
            List<?> row = (List<?>) each;
            next.add(new Held(((Number) row.get(0)).intValue(), ((Number) row.get(1)).intValue(),
                    ((Number) row.get(2)).longValue(), until));
        }
        List<Held> out = new ArrayList<>(Held.without(releasing, next));
        for (Held each : Held.without(held, next)) {
            out.add(new Held(each.from(), each.to(), each.epoch(), heldUntil));
        }
        releasing = out;
        if (!next.toString().equals(held.toString())) {
            log("holds " + next + " for " + answer.get("holdMs") + " ms");
        }
        held = next;
        heldUntil = until;
        expire();
        report();
        return !releasing.isEmpty();
    }
}
