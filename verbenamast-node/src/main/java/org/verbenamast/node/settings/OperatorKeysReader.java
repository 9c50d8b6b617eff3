package org.verbenamast.node.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.verbenamast.core.table.Operator;
import org.verbenamast.core.table.OperatorName;
import org.verbenamast.core.table.Operators;
import org.verbenamast.core.table.Organisation;
import org.verbenamast.core.table.PublicKeyText;
import org.verbenamast.wire.settings.SettingsNode;

/** Reads the operators of both organisations. */
final class OperatorKeysReader {

    private static final String KEY = "an Ed25519 public key in Base64, as verbenamast-ctl keygen prints it";

    private OperatorKeysReader() {}

    static Operators read(SettingsNode file) {
        List<Operator> operators = new ArrayList<>(
                file.optionalObjects("operatorKeys", "a list of operators", OperatorKeysReader::operator));
        operators.removeIf(Objects::isNull);
        return new Operators(operators);
    }

    private static Operator operator(SettingsNode item) {
        OperatorName name = item.form("name", "the operator's name", OperatorName::new, new OperatorName("-"));
        Organisation organisation =
                item.form("organisation", "the organisation's name", Organisation::new, new Organisation("-"));
        PublicKeyText key = item.form("publicKey", KEY, PublicKeyText::new, null);
        return key == null ? null : new Operator(name, organisation, key);
    }
}
