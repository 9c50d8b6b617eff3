package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.model.KeyHash;
import org.verbenamast.core.store.RowKey;

/** A summary of rows and their versions, kept up to date row by row. Equal rows give equal summaries everywhere. */
final class RowDigest {

    /** The number of buckets into which the row keys are hashed. The same on all nodes. */
    static final int BUCKETS = 64;

    private static final long KEY_FACTOR = 0x9e3779b97f4a7c15L;
    private static final long FIRST_MIX_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MIX_FACTOR = 0x94d049bb133111ebL;
    private static final int FIRST_MIX_SHIFT = 30;
    private static final int SECOND_MIX_SHIFT = 27;
    private static final int THIRD_MIX_SHIFT = 31;

    private final long[] buckets = new long[BUCKETS];
    private long total;

    /** Finds the bucket of a row key. */
    static int bucketOf(RowKey key) {
        return Math.floorMod(KeyHash.of(key.toString()), BUCKETS);
    }

    void add(RowKey key, long version) {
        int hash = KeyHash.of(key.toString());
        long number = hashOf(hash, version);
        buckets[Math.floorMod(hash, BUCKETS)] += number;
        total += number;
    }

    void remove(RowKey key, long version) {
        int hash = KeyHash.of(key.toString());
        long number = hashOf(hash, version);
        buckets[Math.floorMod(hash, BUCKETS)] -= number;
        total -= number;
    }

    private static long hashOf(int hash, long version) {
        long number = hash * KEY_FACTOR + version;
        number = (number ^ (number >>> FIRST_MIX_SHIFT)) * FIRST_MIX_FACTOR;
        number = (number ^ (number >>> SECOND_MIX_SHIFT)) * SECOND_MIX_FACTOR;
        return number ^ (number >>> THIRD_MIX_SHIFT);
    }

    /** Returns one number for all rows. */
    long total() {
        return total;
    }

    /** Returns one number per bucket. */
    List<Long> buckets() {
        List<Long> numbers = new ArrayList<>(BUCKETS);
        for (long bucket : buckets) {
            numbers.add(bucket);
        }
        return numbers;
    }
}
