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
 * The Ed25519 key with which an operator signs commands.
 *
 * @param privateKey the private key's PKCS 8 encoding in Base64
 * @param publicKey the public key
 */
public record OperatorKey(String privateKey, PublicKeyText publicKey) {

    private static final String ALGORITHM = "Ed25519";

    /** Checks that the text is a key. */
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
     * Makes a new key from the JDK's source of randomness.
     *
     * @return the key
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
     * Signs a text.
     *
     * @param text the text
     * @return the signature in Base64
     */
    public String sign(SignedText text) {
        try {
            Signature signature = Signature.getInstance(ALGORITHM);
            signature.initSign(decode(privateKey));
            signature.update(text.bytes());
            return Base64.getEncoder().encodeToString(signature.sign());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("a checked key should sign", e);
        }
    }

    @Override
    public String toString() {
        return "OperatorKey[publicKey=" + publicKey + "]";
    }
}
