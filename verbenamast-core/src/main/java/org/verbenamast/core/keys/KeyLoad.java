package org.verbenamast.core.keys;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The load of each key: the number of requests for it, decayed exponentially with time. */
public final class KeyLoad {

    /**
     * Time after which a request counts half, in nanoseconds; short enough to detect keys that became hot a second ago.
     */
    private static final double HALF_LIFE_NANOS = 1.5e9;
    /**
     * Share of the total load that is spread evenly over all keys, so that a plan does not assign all keys without
     * requests to one server.
     */
    private static final double EVEN_SHARE = 0.05;
    /** Count below which a key is dropped; a single request decays to it in about seven half-lives. */
    private static final double MIN_COUNT = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int KEYS = KeyRange.MAX_KEY + 1;

    private final NavigableMap<Integer, Double> counts = new TreeMap<>();
    private long decayedAt;
    private double total;

    /**
     * Adds requests to the load.
     *
     * @param keys the requested keys, one for each request
     * @param now the monotonic time, in nanoseconds
     */
    public void add(Iterable<Integer> keys, long now) {
        decay(now);
        for (int key : keys) {
            counts.merge(key, 1.0, Double::sum);
            total += 1;
        }
    }

    private void decay(long now) {
        double remaining = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_NANOS);
        decayedAt = now;
        total = 0;
        counts.replaceAll((key, count) -> count * remaining);
        counts.values().removeIf(count -> count < MIN_COUNT);
        counts.values().forEach(count -> total += count);
    }

    private double evenLoadPerKey() {
        return (EVEN_SHARE * total + 1) / KEYS;
    }

    /**
     * Returns the load of a range.
     *
     * @param range the keys
     * @return the decayed number of requests, plus the even share, so that keys without requests have a load too
     */
    public double of(KeyRange range) {
        double sum = evenLoadPerKey() * range.size();
        for (double count : counts.subMap(range.from(), true, range.to(), true).values()) {
            sum += count;
        }
        return sum;
    }

    /**
     * Returns the last key of the longest prefix of a range whose load does not exceed a limit.
     *
     * @param range the keys
     * @param load the maximum load
     * @return the last key of the prefix; the first key of the range if its load alone exceeds the limit
     */
    public int lastWithin(KeyRange range, double load) {
        double even = evenLoadPerKey();
        double sum = 0;
        int next = range.from();
        for (Map.Entry<Integer, Double> entry :
                counts.subMap(range.from(), true, range.to(), true).entrySet()) {
            double before = even * (entry.getKey() - next);
            if (sum + before + even + entry.getValue() > load) {
                return lastEvenlyLoaded(range, next, load - sum, entry.getKey() - 1);
            }
            sum += before + even + entry.getValue();
            next = entry.getKey() + 1;
        }
        return next > range.to() ? range.to() : lastEvenlyLoaded(range, next, load - sum, range.to());
    }

    /** Returns the last key up to a load among keys without recent requests, which have the even load only. */
    private int lastEvenlyLoaded(KeyRange range, int next, double load, int limit) {
        long fit = (long) Math.max(0, load / evenLoadPerKey());
        return (int) Math.max(range.from(), Math.min(limit, next - 1 + fit));
    }

    /**
     * Returns the load that results from a steady rate of requests.
     *
     * @param rate the requests per second
     * @return the load
     */
    public double ofRate(double rate) {
        return rate * HALF_LIFE_NANOS / NANOS_PER_SECOND / Math.log(2);
    }

    /**
     * Returns the total load, without the even share.
     *
     * @return the decayed number of requests
     */
    public double total() {
        return total;
    }
}
