package org.verbenamast.ctl;

import java.util.ArrayList;
import java.util.List;

import org.verbenamast.core.model.Address;
import org.verbenamast.wire.settings.SettingsNode;

/**
 * The settings of an operator.
 *
 * @param nodes the operator interfaces of nodes, tried in order
 * @param operator the operator's name, or an empty text
 * @param privateKey the operator's private key in Base64, or an empty text
 * @param publicKey the operator's public key in Base64, or an empty text
 */
record CtlSettings(List<Address> nodes, String operator, String privateKey, String publicKey) {

    static final CtlSettings NONE = new CtlSettings(List.of(), "", "", "");

    CtlSettings {
        nodes = List.copyOf(nodes);
    }

    static CtlSettings read(SettingsNode file) {
        return new CtlSettings(
                file.forms("nodes", "a list of IP numbers and ports", Address::parse),
                file.text("operator", "the operator's name", ""),
                file.text("privateKey", "a private key, as keygen prints it", ""),
                file.text("publicKey", "a public key, as keygen prints it", ""));
    }

    CtlSettings withNodes(List<Address> more) {
        return more.isEmpty() ? this : new CtlSettings(new ArrayList<>(more), operator, privateKey, publicKey);
    }
}
