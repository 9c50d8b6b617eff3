package review;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Who holds which keys: finds keys that two instances that are up hold at the same time, and for how long. */
final class Holdings {

    /** For each instance its ranges: first key, last key, and when its hold on them runs out. */
    private final Map<String, List<long[]>> holdings = new HashMap<>();
    private final Record record;
    private final Map<String, Long> sharedSince = new HashMap<>();
    private long longestNanos;
    private String longest = "none";

    Holdings(Record record) {
        this.record = record;
        Fleet.run(() -> {
            while (true) {
                Thread.sleep(5);
                check();
            }
        });
    }

    synchronized void report(String instance, List<long[]> ranges) {
        holdings.put(instance, List.copyOf(ranges));
    }

    private synchronized void check() {
        long now = System.nanoTime();
        Map<String, Long> still = new HashMap<>();
        for (Map.Entry<String, List<long[]>> one : holdings.entrySet()) {
            for (Map.Entry<String, List<long[]>> other : holdings.entrySet()) {
                boolean pair = one.getKey().compareTo(other.getKey()) < 0;
                String shared = pair ? shared(one.getValue(), other.getValue(), now) : "";
                if (!shared.isEmpty()) {
                    String name = one.getKey() + " and " + other.getKey();
                    long since = sharedSince.getOrDefault(name, now);
                    if (!sharedSince.containsKey(name)) {
                        record.add("holdings", name + " BOTH HOLD " + shared);
                    }
                    still.put(name, since);
                    if (now - since > longestNanos) {
                        longestNanos = now - since;
                        longest = name;
                    }
                }
            }
        }
        sharedSince.forEach((name, since) -> {
            if (!still.containsKey(name)) {
                record.add("holdings", name + " held keys together for " + (now - since) / 1_000_000 + " ms");
            }
        });
        sharedSince.clear();
        sharedSince.putAll(still);
    }

    private static String shared(List<long[]> one, List<long[]> other, long now) {
        for (long[] each : one) {
            for (long[] next : other) {
                long from = Math.max(each[0], next[0]);
                long to = Math.min(each[1], next[1]);
                if (from <= to && now < each[2] && now < next[2]) {
                    return "keys " + from + " to " + to;
                }
            }
        }
        return "";
    }

    synchronized long longestMillis() {
        return longestNanos / 1_000_000;
    }

    synchronized String longest() {
        return longest;
    }
}
