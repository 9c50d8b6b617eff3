package org.verbenamast.relay.net;

/** Finds the end of a body in chunks in raw bytes, and bounds the trailer behind the last chunk. */
final class ChunkScanner {

    /** Longest trailer, in bytes; it is not passed on. */
    private static final int MAX_TRAILER_BYTES = 1024;

    /** Size that the codec refuses, in bytes. */
    private static final long MAX_SIZE = 1L << 40;

    private static final int HEX_BITS = 4;
    private static final int HEX = 16;

    /** The parts of a body in chunks. */
    private enum Part {
        SIZE,
        EXTENSION,
        DATA,
        TRAILER
    }

    private Part part = Part.SIZE;
    private long size;
    private int lineBytes;
    private int trailerBytes;

    /**
     * Scans bytes up to the end of the body.
     *
     * @return the index behind the body, or -1 if the body goes on
     */
    int scan(byte[] input, int from) {
        int i = from;
        while (i < input.length) {
            if (part == Part.DATA) {
                int skipped = (int) Math.min(size, input.length - i);
                size -= skipped;
                i += skipped;
                if (size == 0) {
                    part = Part.SIZE;
                }
                continue;
            }
            byte next = input[i++];
            if (part == Part.TRAILER) {
                if (endsTrailer(next)) {
                    return i;
                }
            } else {
                readSize(next);
            }
        }
        return -1;
    }

    private void readSize(byte next) {
        int digit = Character.digit(next, HEX);
        if (next == '\n') {
            endSizeLine();
        } else if (part == Part.SIZE && digit >= 0) {
            size = Math.min(MAX_SIZE, size << HEX_BITS | digit);
            lineBytes++;
        } else if (next != '\r') {
            part = Part.EXTENSION;
        }
    }

    private void endSizeLine() {
        if (lineBytes == 0 && part == Part.SIZE) {
            // The line break behind a chunk's data.
            return;
        }
        part = size == 0 ? Part.TRAILER : Part.DATA;
        lineBytes = 0;
    }

    private boolean endsTrailer(byte next) {
        trailerBytes++;
        if (next != '\n') {
            lineBytes += next == '\r' ? 0 : 1;
            return false;
        }
        boolean empty = lineBytes == 0;
        lineBytes = 0;
        return empty;
    }

    boolean isTooLong() {
        return trailerBytes > MAX_TRAILER_BYTES;
    }
}
