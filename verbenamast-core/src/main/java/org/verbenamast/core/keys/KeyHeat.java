package org.verbenamast.core.keys;

/** How many requests each key got lately; older requests count less and less. */
public final class KeyHeat {

    /** Time after which a request counts half, in nanoseconds; keys that turned hot a second ago are seen. */
    private static final double HALF_LIFE_NANOS = 1.5e9;

    private static final double NANOS_PER_SECOND = 1e9;

    private final float[] counts = new float[KeyRange.MAX_KEY + 1];
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
            counts[key] += 1;
            total += 1;
        }
    }

    private void decay(long now) {
        float left = (float) Math.pow(0.5, (now - at) / HALF_LIFE_NANOS);
        at = now;
        total *= left;
        for (int key = 0; key < counts.length; key++) {
            counts[key] *= left;
        }
    }

    /**
     * Returns the weight of a key.
     *
     * @param key the key
     * @return the decayed count, plus a small even share so that keys without requests weigh something
     */
    public double of(int key) {
        return counts[key] + (EVEN_SHARE * total + 1) / counts.length;
    }

    /** Share of the whole heat that is spread evenly over all keys; keeps the plan from giving all cold keys to one. */
    private static final double EVEN_SHARE = 0.05;

    /**
     * Returns the weight of a range.
     *
     * @param range the keys
     * @return the sum of the keys' weights
     */
    public double of(KeyRange range) {
        double sum = 0;
        for (int key = range.from(); key <= range.to(); key++) {
            sum += of(key);
        }
        return sum;
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
