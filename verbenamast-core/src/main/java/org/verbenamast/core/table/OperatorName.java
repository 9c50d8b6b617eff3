package org.verbenamast.core.table;

import org.verbenamast.core.check.Checks;

/**
 * The name of an operator.
 *
 * @param value the name, unique over both organisations
 */
public record OperatorName(String value) {

    /** Checks that the name is not blank. */
    public OperatorName {
        Checks.notBlank("operator", value);
    }

    @Override
    public String toString() {
        return value;
    }
}
