package org.verbenamast.core.keys;

import org.verbenamast.core.check.Checks;

/**
 * A range of consecutive keys.
 *
 * @param from the first key
 * @param to the last key, inclusive
 */
public record KeyRange(int from, int to) {

    /** The highest key. */
    public static final int MAX_KEY = 65_535;

    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks that the keys exist and that the range is not empty. */
    public KeyRange {
        Checks.within("from", from, 0, MAX_KEY);
        Checks.within("to", to, from, MAX_KEY);
    }

    /**
     * Returns whether this range contains a key.
     *
     * @param key the key
     * @return whether the key is in this range
     */
    public boolean contains(int key) {
        return key >= from && key <= to;
    }

    /**
     * Returns whether this range contains all keys of another one.
     *
     * @param other the other range
     * @return whether the other range is within this one
     */
    public boolean covers(KeyRange other) {
        return other.from >= from && other.to <= to;
    }

    /**
     * Returns whether this range and another one share a key.
     *
     * @param other the other range
     * @return whether the ranges overlap
     */
    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }

    /**
     * Returns the number of keys in this range.
     *
     * @return the number of keys
     */
    public int size() {
        return to - from + 1;
    }
}
