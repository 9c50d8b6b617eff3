package org.verbenamast.core.table;

import java.util.Objects;

/**
 * An operator listed in the settings.
 *
 * @param name the name of the operator
 * @param organisation the organisation for which the operator acts
 * @param publicKey the key that verifies the operator's signatures
 */
public record Operator(OperatorName name, Organisation organisation, PublicKeyText publicKey) {

    /** Validates the components. */
    public Operator {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(publicKey, "publicKey");
    }
}
