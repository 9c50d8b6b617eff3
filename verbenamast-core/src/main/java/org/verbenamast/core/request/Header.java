package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * A header that travels with a request or an answer.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {

    /** Checks the parts. */
    public Header {
        Checks.notBlank("header", name);
        Objects.requireNonNull(value, "value");
    }
}
