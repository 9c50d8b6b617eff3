package org.verbenamast.core.manifest.check;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * Something that is wrong with a manifest.
 *
 * @param severity what it means for callers
 * @param place the entry, such as {@code route stock}
 * @param text what is wrong, and what should stand there
 */
public record Finding(Severity severity, String place, String text) {

    /** Checks that no part is missing. */
    public Finding {
        Objects.requireNonNull(severity, "severity");
        Checks.notBlank("place", place);
        Checks.notBlank("text", text);
    }

    static Finding error(String place, String text) {
        return new Finding(Severity.ERROR, place, text);
    }

    static Finding warning(String place, String text) {
        return new Finding(Severity.WARNING, place, text);
    }
}
