package org.verbenamast.core.manifest;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The SHA-256 digest of a caller's key. Nodes keep no key itself, so that none can reach a log, a metric or a dump of
 * the memory.
 *
 * @param first the first 64 bits
 * @param second the second 64 bits
 * @param third the third 64 bits
 * @param fourth the last 64 bits
 */
public record CallerKeyDigest(long first, long second, long third, long fourth) {

    private static final String ALGORITHM = "SHA-256";

    /**
     * Returns the digest of a key.
     *
     * @param key the key as the caller or the manifest gives it
     * @return the digest
     */
    public static CallerKeyDigest of(String key) {
        ByteBuffer digest = ByteBuffer.wrap(newDigest().digest(key.getBytes(StandardCharsets.UTF_8)));
        return new CallerKeyDigest(digest.getLong(), digest.getLong(), digest.getLong(), digest.getLong());
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
        }
    }

    /**
     * Compares two digests in a time that does not depend on where they differ.
     *
     * @param other the other digest
     * @return whether they are of the same key
     */
    public boolean matches(CallerKeyDigest other) {
        long difference = first ^ other.first | second ^ other.second | third ^ other.third | fourth ^ other.fourth;
        return difference == 0;
    }

    /** Returns a text that tells nothing of the key. */
    @Override
    public String toString() {
        return "CallerKeyDigest";
    }
}
