package org.verbenamast.core.rows;

import org.verbenamast.core.check.Checks;

/**
 * A version of the store. The store counts versions in eras: it begins a new one when it comes back from an older
 * copy, and then gives out numbers again that it gave out before. Rows, copies of tables and news between nodes hold a
 * version in its packed form, a single number whose order is that of (era, number). In era 0 it is the number itself.
 *
 * @param era the era
 * @param number the version's number in the store
 */
public record StoreVersion(long era, long number) {

    /** The latest era that a version can be of. */
    public static final long MAX_ERA = (1L << 15) - 1;

    /** The highest number of a version. */
    public static final long MAX_NUMBER = (1L << 48) - 1;

    private static final int NUMBER_BITS = 48;

    /** Checks that era and number can be packed. */
    public StoreVersion {
        Checks.within("era", era, 0, MAX_ERA);
        Checks.within("number", number, 0, MAX_NUMBER);
    }

    /**
     * Returns the version with a packed form.
     *
     * @param packed the packed form
     * @return the version
     */
    public static StoreVersion ofPacked(long packed) {
        return new StoreVersion(packed >> NUMBER_BITS, packed & MAX_NUMBER);
    }

    /**
     * Returns whether an era and a number are those of a version.
     *
     * @param era the era
     * @param number the number
     * @return whether both are within their bounds
     */
    public static boolean isValid(long era, long number) {
        return era >= 0 && era <= MAX_ERA && number >= 0 && number <= MAX_NUMBER;
    }

    /**
     * Returns the packed form.
     *
     * @return a number that is not negative and increases with the era, then with the number
     */
    public long packed() {
        return era << NUMBER_BITS | number;
    }
}
