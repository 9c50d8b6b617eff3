package org.verbenamast.core.request;

import java.util.Arrays;
import java.util.Objects;

/**
 * The complete body of a request or a response. The array is not copied, so callers must not modify it.
 *
 * @param bytes the content, empty where there is no body
 */
public record Body(byte[] bytes) {

    /** A body without bytes. */
    public static final Body EMPTY = new Body(new byte[0]);

    /** Checks that the array is not null. */
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
