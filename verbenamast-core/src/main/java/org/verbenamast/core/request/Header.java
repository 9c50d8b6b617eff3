package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * An HTTP header that is forwarded with a request or a response.
 *
 * @param name the name, not blank
 * @param value the value, possibly empty
 */
public record Header(String name, String value) {

    /** Checks that the name is not blank and the value is not null. */
    public Header {
        Checks.notBlank("header", name);
        Objects.requireNonNull(value, "value");
    }
}
