package org.verbenamast.core.membership;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.model.KeyHash;
import org.verbenamast.core.store.RowKey;

/**
 * A digest of rows and their versions, updated row by row. Equal sets of rows give equal digests on all nodes, whatever
 * the order in which the rows came. Each row contributes a 64-bit hash that the SplitMix64 finalizer computes.
 */
final class RowDigest {

    /** The number of buckets into which row keys are hashed. Must be the same on all nodes. */
    static final int BUCKETS = 64;

    private static final long KEY_FACTOR = 0x9e3779b97f4a7c15L;
    private static final long FIRST_MIX_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_MIX_FACTOR = 0x94d049bb133111ebL;
    private static final int FIRST_MIX_SHIFT = 30;
    private static final int SECOND_MIX_SHIFT = 27;
    private static final int THIRD_MIX_SHIFT = 31;

    private final long[] buckets = new long[BUCKETS];
    private long total;

    /** Returns the bucket of a row key, from 0. */
    static int bucketOf(RowKey key) {
        return Math.floorMod(KeyHash.of(key.toString()), BUCKETS);
    }

    void add(RowKey key, long version) {
        int keyHash = KeyHash.of(key.toString());
        long rowHash = hashOf(keyHash, version);
        buckets[Math.floorMod(keyHash, BUCKETS)] += rowHash;
        total += rowHash;
    }

    void remove(RowKey key, long version) {
        int keyHash = KeyHash.of(key.toString());
        long rowHash = hashOf(keyHash, version);
        buckets[Math.floorMod(keyHash, BUCKETS)] -= rowHash;
        total -= rowHash;
    }

    private static long hashOf(int keyHash, long version) {
        long mixed = keyHash * KEY_FACTOR + version;
        mixed = (mixed ^ (mixed >>> FIRST_MIX_SHIFT)) * FIRST_MIX_FACTOR;
        mixed = (mixed ^ (mixed >>> SECOND_MIX_SHIFT)) * SECOND_MIX_FACTOR;
        return mixed ^ (mixed >>> THIRD_MIX_SHIFT);
    }

    /** Returns the sum of the hashes of all rows. */
    long total() {
        return total;
    }

    /** Returns the sum of the row hashes of each bucket. */
    List<Long> buckets() {
        List<Long> sums = new ArrayList<>(BUCKETS);
        for (long bucket : buckets) {
            sums.add(bucket);
        }
        return sums;
    }
}
