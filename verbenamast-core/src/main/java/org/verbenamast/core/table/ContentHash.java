package org.verbenamast.core.table;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

import org.verbenamast.core.check.Checks;

/**
 * The SHA-256 hash of the content of the table.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record ContentHash(String hex) {

    /** The value for no content: all zeros. */
    public static final ContentHash NONE = new ContentHash("0".repeat(64));

    private static final int ABBREVIATED_DIGITS = 12;

    /** Validates the format. */
    public ContentHash {
        Checks.notBlank("hash", hex);
        if (!Pattern.matches("[0-9a-f]{64}", hex)) {
            throw Checks.malformed("hash", "64 hexadecimal digits", hex);
        }
    }

    /**
     * Computes the hash of a text.
     *
     * @param text the text, hashed in UTF-8
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
     * Returns the first digits, for display.
     *
     * @return 12 hexadecimal digits
     */
    public String abbreviated() {
        return hex.substring(0, ABBREVIATED_DIGITS);
    }

    @Override
    public String toString() {
        return hex;
    }
}
