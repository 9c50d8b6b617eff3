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
 * @param base64 the X.509 encoding of the key, in Base64
 */
public record PublicKeyText(String base64) {

    private static final String ALGORITHM = "Ed25519";

    /** Validates that the text is a public key. */
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
     * Returns whether a text was signed with the matching private key.
     *
     * @param text the signed text
     * @param signature the signature in Base64
     * @return whether the signature is valid; false if it can't be decoded
     */
    public boolean verifies(SignedText text, String signature) {
        try {
            Signature verifier = Signature.getInstance(ALGORITHM);
            verifier.initVerify(decode(base64));
            verifier.update(text.bytes());
            return verifier.verify(Base64.getDecoder().decode(signature));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            return false;
        }
    }

    @Override
    public String toString() {
        return base64;
    }
}
