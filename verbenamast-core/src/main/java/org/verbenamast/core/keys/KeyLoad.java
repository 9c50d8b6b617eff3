package org.verbenamast.core.keys;

import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** How many requests each key got lately; older requests count less and less. */
public final class KeyLoad {

    /** Time after which a request counts half, in nanoseconds; keys that turned hot a second ago are seen. */
    private static final double HALF_LIFE_NANOS = 1.5e9;
    /** Share of the whole heat that is spread evenly over all keys; keeps the plan from giving all cold keys to one. */
    private static final double EVEN_SHARE = 0.05;
    /** Count below which a key is forgotten; about seven half-lives of a single request. */
    private static final double FORGOTTEN = 0.01;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int KEYS = KeyRange.MAX_KEY + 1;

    private final NavigableMap<Integer, Double> counts = new TreeMap<>();
    private long at;
    private double total;

    /**
     * Counts requests.
     *
     * @param keys the keys, one for each request
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
        double left = Math.pow(0.5, (now - at) / HALF_LIFE_NANOS);
        at = now;
        total = 0;
        counts.replaceAll((key, count) -> count * left);
        counts.values().removeIf(count -> count < FORGOTTEN);
        counts.values().forEach(count -> total += count);
    }

    private double even() {
        return (EVEN_SHARE * total + 1) / KEYS;
    }

    /**
     * Returns the weight of a range.
     *
     * @param range the keys
     * @return the decayed count, plus a small even share so that keys without requests weigh something
     */
    public double of(KeyRange range) {
        double sum = even() * range.size();
        for (double count : counts.subMap(range.from(), true, range.to(), true).values()) {
            sum += count;
        }
        return sum;
    }

    /**
     * Finds the first keys of a range up to a weight.
     *
     * @param range the keys
     * @param weight the weight
     * @return the last of these keys; the first key of the range where it alone weighs as much
     */
    public int lastWithin(KeyRange range, double weight) {
        double even = even();
        double sum = 0;
        int next = range.from();
        for (Map.Entry<Integer, Double> entry :
                counts.subMap(range.from(), true, range.to(), true).entrySet()) {
            double before = even * (entry.getKey() - next);
            if (sum + before + even + entry.getValue() > weight) {
                return lastEven(range, next, weight - sum, entry.getKey() - 1);
            }
            sum += before + even + entry.getValue();
            next = entry.getKey() + 1;
        }
        return next > range.to() ? range.to() : lastEven(range, next, weight - sum, range.to());
    }

    /** Returns the last key up to a weight among keys that nobody asked for lately. */
    private int lastEven(KeyRange range, int next, double weight, int most) {
        long fit = (long) Math.max(0, weight / even());
        return (int) Math.max(range.from(), Math.min(most, next - 1 + fit));
    }

    /**
     * Returns the weight that a steady rate of requests adds up to.
     *
     * @param rate the requests a second
     * @return the weight
     */
    public double perSecond(double rate) {
        return rate * HALF_LIFE_NANOS / NANOS_PER_SECOND / Math.log(2);
    }

    /**
     * Returns how many requests were counted lately.
     *
     * @return the decayed count
     */
    public double total() {
        return total;
    }
}
