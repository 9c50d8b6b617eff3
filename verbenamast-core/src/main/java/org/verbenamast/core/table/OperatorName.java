package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * The name of an operator.
 *
 * @param value the name, unique across both organisations
 */
public record OperatorName(String value) {

    /** Validates that the name is not blank. */
    public OperatorName {
        Checks.notBlank("operator", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
