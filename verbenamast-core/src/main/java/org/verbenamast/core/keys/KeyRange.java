package org.verbenamast.core.keys;

import org.verbenamast.core.check.Checks;

/**
 * Keys that follow one another.
 *
 * @param from the first key
 * @param to the last key, included
 */
public record KeyRange(int from, int to) {

    /** The largest key. */
    public static final int MAX_KEY = 65_535;

    /** All keys. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks that the range is not empty. */
    public KeyRange {
        Checks.within("from", from, 0, MAX_KEY);
        Checks.within("to", to, from, MAX_KEY);
    }

    /**
     * Tells whether a key lies in this range.
     *
     * @param key the key
     * @return whether it lies in it
     */
    public boolean contains(int key) {
        return key >= from && key <= to;
    }

    /**
     * Tells whether all keys of another range lie in this one.
     *
     * @param other the other range
     * @return whether it lies within this one
     */
    public boolean covers(KeyRange other) {
        return other.from >= from && other.to <= to;
    }

    /**
     * Tells whether any key lies in this range and in another one.
     *
     * @param other the other range
     * @return whether they have a key in common
     */
    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }

    /**
     * Returns how many keys the range has.
     *
     * @return the number
     */
    public int size() {
        return to - from + 1;
    }
}
