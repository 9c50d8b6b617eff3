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
    /** Time after which the weights are scaled down, in nanoseconds; bounds them and the number of idle keys kept. */
    private static final long RESCALE_INTERVAL_NANOS = Math.round(4 * HALF_LIFE_NANOS);

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int KEYS = KeyRange.MAX_KEY + 1;

    /**
     * The requests for each key. Rather than all earlier requests losing weight, a new one gains it: it weighs twice as
     * much as one of a half-life before, so that a report costs only the keys that it names.
     */
    private final NavigableMap<Integer, Double> weights = new TreeMap<>();

    private long rescaledAt;
    private double totalWeight;
    private double currentWeight = 1;

    /**
     * Adds requests to the load.
     *
     * @param keys the requested keys, one for each request
     * @param now the monotonic time, in nanoseconds
     */
    public void add(Iterable<Integer> keys, long now) {
        if (now - rescaledAt > RESCALE_INTERVAL_NANOS) {
            rescale(now);
        }
        currentWeight = weightAt(now);
        for (int key : keys) {
            weights.merge(key, currentWeight, Double::sum);
            totalWeight += currentWeight;
        }
    }

    private double weightAt(long now) {
        return Math.pow(2, (now - rescaledAt) / HALF_LIFE_NANOS);
    }

    private void rescale(long now) {
        double scale = 1 / weightAt(now);
        rescaledAt = now;
        weights.replaceAll((key, weight) -> weight * scale);
        weights.values().removeIf(weight -> weight < MIN_COUNT);
        totalWeight = weights.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    private double evenLoadPerKey() {
        return (EVEN_SHARE * total() + 1) / KEYS;
    }

    /**
     * Returns the load of a range.
     *
     * @param range the keys
     * @return the decayed number of requests, plus the even share, so that keys without requests have a load too
     */
    public double of(KeyRange range) {
        double weight = 0;
        for (double each : weights.subMap(range.from(), true, range.to(), true).values()) {
            weight += each;
        }
        return evenLoadPerKey() * range.size() + weight / currentWeight;
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
                weights.subMap(range.from(), true, range.to(), true).entrySet()) {
            double before = even * (entry.getKey() - next);
            double count = entry.getValue() / currentWeight;
            if (sum + before + even + count > load) {
                return lastEvenlyLoaded(range, next, load - sum, entry.getKey() - 1);
            }
            sum += before + even + count;
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
        return totalWeight / currentWeight;
    }
}
