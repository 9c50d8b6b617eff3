package org.verbenamast.core.request;

import java.util.Arrays;
import java.util.Objects;

/**
 * The whole body of a request or an answer. The bytes are not copied and must not be changed.
 *
 * @param bytes the bytes
 */
public record Body(byte[] bytes) {

    /** A body without bytes. */
    public static final Body EMPTY = new Body(new byte[0]);

    /** Checks that the bytes are given. */
    public Body {
        Objects.requireNonNull(bytes, "bytes");
    }

    /**
     * Returns the number of bytes.
     *
     * @return the length in bytes
     */
    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Body that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Body[" + bytes.length + " bytes]";
    }
}
