package org.verbenamast.standins.proxy;

import java.nio.charset.StandardCharsets;

/** Reads the name of the sending node from the first frame on a link between nodes. */
final class SenderName {

    private static final int FIRST_FIELD_OF_BYTES = 0x0a;
    private static final int MORE = 0x80;

    private SenderName() {}

    /** Returns the name, or an empty text where the bytes are not the beginning of such a frame. */
    static String of(byte[] bytes, int offset, int length) {
        int at = offset;
        int end = offset + length;
        while (at < end && (bytes[at] & MORE) != 0) {
            at++;
        }
        at++;
        boolean nested = at + 3 < end && bytes[at] == FIRST_FIELD_OF_BYTES && bytes[at + 2] == FIRST_FIELD_OF_BYTES;
        if (!nested || at + 4 + bytes[at + 3] > end || bytes[at + 3] < 0) {
            return "";
        }
        return new String(bytes, at + 4, bytes[at + 3], StandardCharsets.UTF_8);
    }
}
