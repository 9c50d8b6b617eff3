package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * The limits of what callers may send.
 *
 * @param maxHeaderBytes the maximum size of a request line with its header fields, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time for a caller to send the header, in milliseconds
 * @param idleTimeoutMillis the maximum time for which a connection may be idle, in milliseconds
 */
public record RequestLimits(long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits before a manifest is known: 16 KiB, 64 MiB, 3 s and 15 s. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 64L * 1024 * 1024, 3_000, 15_000);

    /** Checks that all limits are positive. */
    public RequestLimits {
        Checks.positive("maxHeaderBytes", maxHeaderBytes);
        Checks.positive("maxBodyBytes", maxBodyBytes);
        Checks.positive("headerTimeoutMillis", headerTimeoutMillis);
        Checks.positive("idleTimeoutMillis", idleTimeoutMillis);
    }
}
