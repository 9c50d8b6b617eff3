package org.verbenamast.core.table;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PublicKey;
import java.security.Signature;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * An operator's Ed25519 public key.
 *
 * @param base64 the key's X.509 encoding in Base64
 */
public record PublicKeyText(String base64) {

    private static final String ALGORITHM = "Ed25519";

    /** Checks that the text is a key. */
    public PublicKeyText {
        Objects.requireNonNull(base64, "base64");
        try {
            decode(base64);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw Checks.malformed("public key", "an Ed25519 key in Base64", base64);
        }
    }

    private static PublicKey decode(String text) throws GeneralSecurityException {
        byte[] encoded = Base64.getDecoder().decode(text);
        return KeyFactory.getInstance(ALGORITHM).generatePublic(new X509EncodedKeySpec(encoded));
    }

    /**
     * Tells whether a text was signed with the private key of this key.
     *
     * @param text the text
     * @param signature the signature in Base64
     * @return whether the signature is valid
     */
    public boolean verifies(SignedText text, String signature) {
        try {
            Signature check = Signature.getInstance(ALGORITHM);
            check.initVerify(decode(base64));
            check.update(text.bytes());
            return check.verify(Base64.getDecoder().decode(signature));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    @Override
    public String toString() {
        return base64;
    }
}
