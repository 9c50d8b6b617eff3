package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * The most of something that is allowed.
 *
 * @param value the number, or {@link Long#MAX_VALUE} where there is no limit
 */
public record Limit(long value) {

    /** No limit. */
    public static final Limit UNLIMITED = new Limit(Long.MAX_VALUE);

    /** The greatest limit that may be set. */
    public static final long MAX = 1_000_000_000L;

    private static final String UNLIMITED_TEXT = "unlimited";

    /** Checks that the number is not negative. */
    public Limit {
        Checks.notNegative("limit", value);
        if (value != Long.MAX_VALUE) {
            Checks.within("limit", value, 0, MAX);
        }
    }

    /**
     * Reads the form that {@link #toString()} writes; an empty text means no limit.
     *
     * @param text a text such as {@code 40}
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
     * Tells whether there is a limit.
     *
     * @return whether the number bounds anything
     */
    public boolean bounds() {
        return value != Long.MAX_VALUE;
    }

    @Override
    public String toString() {
        return bounds() ? Long.toString(value) : UNLIMITED_TEXT;
    }
}
