package org.verbenamast.relay.net;

import java.nio.charset.StandardCharsets;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;

/** How the body of a message is framed on a connection. */
enum BodyFraming {
    /** The message has no body, whatever its fields say. */
    NONE {
        @Override
        byte[] piece(byte[] bytes) {
            return NO_BYTES;
        }

        @Override
        byte[] end() {
            return NO_BYTES;
        }
    },
    /** The body is sent as it is; its length or the end of the connection ends it. */
    PLAIN {
        @Override
        byte[] piece(byte[] bytes) {
            return bytes;
        }

        @Override
        byte[] end() {
            return NO_BYTES;
        }
    },
    /** Each piece is preceded by its length, and a chunk of length 0 ends the body. */
    CHUNKED {
        @Override
        byte[] piece(byte[] bytes) {
            if (bytes.length == 0) {
                return NO_BYTES;
            }
            byte[] length = (Integer.toHexString(bytes.length) + CRLF).getBytes(StandardCharsets.US_ASCII);
            byte[] chunk = new byte[length.length + bytes.length + CRLF.length()];
            System.arraycopy(length, 0, chunk, 0, length.length);
            System.arraycopy(bytes, 0, chunk, length.length, bytes.length);
            chunk[chunk.length - 2] = '\r';
            chunk[chunk.length - 1] = '\n';
            return chunk;
        }

        @Override
        byte[] end() {
            return LAST_CHUNK.getBytes(StandardCharsets.US_ASCII);
        }
    };

    static final String CRLF = "\r\n";

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final byte[] NO_BYTES = {};

    /** Encodes a piece of the body. */
    abstract byte[] piece(byte[] bytes);

    /** Encodes the end of the body. */
    abstract byte[] end();

    /** Returns the framing of a message that may have a body. */
    static BodyFraming of(HttpMessage head) {
        return HttpUtil.isTransferEncodingChunked(head) ? CHUNKED : PLAIN;
    }
}
