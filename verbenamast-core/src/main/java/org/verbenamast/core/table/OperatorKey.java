package org.verbenamast.core.table;

import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.Objects;

import org.verbenamast.core.check.Checks;

/**
 * The Ed25519 key pair with which an operator signs commands.
 *
 * @param privateKey the PKCS #8 encoding of the private key, in Base64
 * @param publicKey the matching public key
 */
public record OperatorKey(String privateKey, PublicKeyText publicKey) {

    private static final String ALGORITHM = "Ed25519";

    /** Validates that the text is a private key. The error message doesn't contain it. */
    public OperatorKey {
        Objects.requireNonNull(publicKey, "publicKey");
        try {
            decode(privateKey);
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw Checks.malformed("private key", "an Ed25519 key in Base64", "(hidden)");
        }
    }

    private static PrivateKey decode(String text) throws GeneralSecurityException {
        byte[] encoded = Base64.getDecoder().decode(text);
        return KeyFactory.getInstance(ALGORITHM).generatePrivate(new PKCS8EncodedKeySpec(encoded));
    }

    /**
     * Generates a key pair from the JDK's source of randomness.
     *
     * @return the new key pair
     */
    public static OperatorKey generate() {
        try {
            KeyPair pair = KeyPairGenerator.getInstance(ALGORITHM).generateKeyPair();
            Base64.Encoder encoder = Base64.getEncoder();
            return new OperatorKey(
                    encoder.encodeToString(pair.getPrivate().getEncoded()),
                    new PublicKeyText(encoder.encodeToString(pair.getPublic().getEncoded())));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every JDK should have " + ALGORITHM, e);
        }
    }

    /**
     * Signs a text with the private key.
     *
     * @param text the text to sign
     * @return the signature in Base64
     */
    public String sign(SignedText text) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(decode(privateKey));
            signature.update(text.bytes());
            return Base64.getEncoder().encodeToString(signature.sign());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("a validated private key should be able to sign", e);
        }
    }

    @Override
    public String toString() {
        return "OperatorKey[publicKey=" + publicKey + "]";
    }
}
