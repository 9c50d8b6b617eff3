package org.verbenamast.core.manifest.check;

import org.verbenamast.core.check.Checks;

/**
 * A difference between two manifests.
 *
 * @param place the entry, such as {@code route stock}
 * @param text the difference in words
 */
public record ManifestChange(String place, String text) {

    /** Checks that no part is missing. */
    public ManifestChange {
        Checks.notBlank("place", place);
        Checks.notBlank("text", text);
    }
}
