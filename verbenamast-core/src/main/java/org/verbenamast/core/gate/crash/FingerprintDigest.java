package org.verbenamast.core.gate.crash;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.zip.CRC32C;

/**
 * Computes the fingerprint of a request while its body arrives: of its caller, its path and the beginning of its body.
 */
public final class FingerprintDigest {

    /** The part of a body that counts, in bytes; an entry node can hold as much back before it selects a server. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    private final String caller;
    private final String path;
    private final CRC32C body = new CRC32C();
    private int bodyBytes;

    /**
     * Creates the digest of a request without a body.
     *
     * @param caller the service that sends the request
     * @param path the request's path and query
     */
    public FingerprintDigest(String caller, String path) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.path = Objects.requireNonNull(path, "path");
    }

    /**
     * Adds a piece of the body.
     *
     * @param bytes the piece
     */
    public void update(byte[] bytes) {
        int length = Math.min(bytes.length, MAX_BODY_BYTES - bodyBytes);
        body.update(bytes, 0, length);
        bodyBytes += length;
    }

    /**
     * Returns whether further pieces of the body leave the fingerprint as it is.
     *
     * @return whether the part of the body that counts is full
     */
    public boolean isFull() {
        return bodyBytes == MAX_BODY_BYTES;
    }

    /**
     * Returns the fingerprint of the request, if its body is the one added so far.
     *
     * @return the fingerprint
     */
    public Fingerprint fingerprint() {
        CRC32C head = new CRC32C();
        update(head, caller);
        update(head, path);
        return Fingerprint.of(head, body);
    }

    private static void update(CRC32C hash, String part) {
        hash.update(part.getBytes(StandardCharsets.UTF_8));
        hash.update(0);
    }
}
