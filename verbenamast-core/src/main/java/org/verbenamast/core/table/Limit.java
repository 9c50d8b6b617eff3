package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * An upper limit of a row of the table.
 *
 * @param value the greatest allowed number, or {@link Long#MAX_VALUE} for no limit
 */
public record Limit(long value) {

    /** No limit. */
    public static final Limit UNLIMITED = new Limit(Long.MAX_VALUE);

    /** The greatest limit that an operator may set. */
    public static final long MAX = 1_000_000_000L;

    private static final String UNLIMITED_TEXT = "unlimited";

    /** Validates that the number is between 0 and {@link #MAX}, or unlimited. */
    public Limit {
        Checks.notNegative("limit", value);
        if (value != Long.MAX_VALUE) {
            Checks.within("limit", value, 0, MAX);
        }
    }

    /**
     * Parses the format of {@link #toString()}; an empty text means no limit.
     *
     * @param text a whole number such as {@code 40}, {@code unlimited} or an empty text
     * @return the limit
     */
    public static Limit parse(String text) {
        if (text.isEmpty() || text.equals(UNLIMITED_TEXT)) {
            return UNLIMITED;
        }
        try {
            return new Limit(Checks.within("limit", Long.parseLong(text), 0, MAX));
        } catch (NumberFormatException e) {
            throw Checks.malformed("limit", "a whole number or unlimited", text);
        }
    }

    /**
     * Returns whether there is a limit.
     *
     * @return false for {@link #UNLIMITED}
     */
    public boolean limited() {
        return value != Long.MAX_VALUE;
    }

    @Override
    public String toString() {
        return limited() ? Long.toString(value) : UNLIMITED_TEXT;
    }
}
