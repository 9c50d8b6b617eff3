package org.verbenamast.relay.net;

/** Finds the end of a head in raw bytes and counts its bytes and lines, before any object is made of them. */
final class HeadScanner {

    /** Empty lines that may precede a request; some clients send one after a body. */
    private static final int MAX_EMPTY_LINES = 16;
    /** Bytes of the objects that a line becomes, here and in the message to another node. */
    private static final int LINE_WEIGHT = 400;

    private final int maxBytes;
    private int bytes;
    private int lines;
    private int emptyLines;
    private int lineBytes;
    private boolean carriageReturn;

    HeadScanner(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Scans bytes up to the end of the head.
     *
     * @return the index behind the head, or -1 if the head goes on
     */
    int scan(byte[] input, int from) {
        for (int i = from; i < input.length; i++) {
            bytes++;
            if (input[i] != '\n') {
                lineBytes++;
                carriageReturn = input[i] == '\r';
                continue;
            }
            boolean empty = lineBytes == 0 || lineBytes == 1 && carriageReturn;
            lineBytes = 0;
            carriageReturn = false;
            if (!empty) {
                lines++;
            } else if (lines > 0) {
                return i + 1;
            } else {
                emptyLines++;
            }
        }
        return -1;
    }

    /** Returns whether the head is longer than it may be, or too many empty lines precede it. */
    boolean isTooLong() {
        return bytes > maxBytes || emptyLines > MAX_EMPTY_LINES;
    }

    /** Returns whether a part of a head has arrived. */
    boolean isInHead() {
        return lines > 0 || lineBytes > 0;
    }

    /** Returns the bytes that the head takes, with those of the objects that its lines become. */
    int weight() {
        return bytes + lines * LINE_WEIGHT;
    }

    void reset() {
        bytes = 0;
        lines = 0;
        emptyLines = 0;
        lineBytes = 0;
        carriageReturn = false;
    }
}
