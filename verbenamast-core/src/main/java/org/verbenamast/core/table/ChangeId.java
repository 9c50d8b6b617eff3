package org.verbenamast.core.table;

import java.util.regex.Pattern;

import org.verbenamast.core.check.Checks;

/**
 * The id of a change of the table.
 *
 * @param value up to 64 letters, digits and hyphens
 */
public record ChangeId(String value) {

    private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9-]{1,64}");

    /** Validates the format. */
    public ChangeId {
        Checks.notBlank("change", value);
        if (!FORMAT.matcher(value).matches()) {
            throw Checks.malformed("change", "up to 64 letters, digits and hyphens", value);
        }
    }

    @Override
    public String toString() {
        return value;
    }
}
