package org.verbenamast.standins.server;

/** Bodies that a checker can make again from their path and length. */
public final class Patterns {

    private static final int FACTOR = 31;

    private Patterns() {}

    /**
     * Makes a body.
     *
     * @param path the path that was asked for
     * @param length the number of bytes
     * @return the bytes, the same for the same path
     */
    public static byte[] of(String path, int length) {
        byte[] bytes = new byte[length];
        int state = path.hashCode();
        for (int i = 0; i < length; i++) {
            state = state * FACTOR + i;
            bytes[i] = (byte) (state >>> Byte.SIZE);
        }
        return bytes;
    }
}
