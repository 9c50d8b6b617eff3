package org.verbenamast.core.table;

import java.util.Objects;

/**
 * An operator whom the settings name.
 *
 * @param name the operator
 * @param organisation the organisation for which the operator acts
 * @param publicKey the key with which the operator's commands are checked
 */
public record Operator(OperatorName name, Organisation organisation, PublicKeyText publicKey) {

    /** Checks the parts. */
    public Operator {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(publicKey, "publicKey");
    }
}
