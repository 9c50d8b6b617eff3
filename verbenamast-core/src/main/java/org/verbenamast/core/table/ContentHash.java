package org.verbenamast.core.table;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

import org.verbenamast.core.check.Checks;

/**
 * The SHA-256 hash of a table's content.
 *
 * @param hex 64 hexadecimal digits in lower case
 */
public record ContentHash(String hex) {

    /** Stands for no content. */
    public static final ContentHash NONE = new ContentHash("0".repeat(64));

    private static final int SHORT_DIGITS = 12;

    /** Checks the form. */
    public ContentHash {
        Checks.notBlank("hash", hex);
        if (!Pattern.matches("[0-9a-f]{64}", hex)) {
            throw Checks.malformed("hash", "64 hexadecimal digits", hex);
        }
    }

    /**
     * Hashes a text.
     *
     * @param text the text
     * @return its hash
     */
    public static ContentHash of(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return new ContentHash(HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8))));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK should have SHA-256", e);
        }
    }

    /**
     * Returns the first digits, for people.
     *
     * @return 12 hexadecimal digits
     */
    public String brief() {
        return hex.substring(0, SHORT_DIGITS);
    }

    @Override
    public String toString() {
        return hex;
    }
}
