package org.verbenamast.core.manifest;

import org.verbenamast.core.check.Checks;

/**
 * What callers may send.
 *
 * @param maxHeaderBytes the longest head of a request, in bytes
 * @param maxBodyBytes the longest body of a request, in bytes
 * @param headerTimeoutMillis the longest time that a caller may take for the head, in milliseconds
 * @param idleTimeoutMillis the longest time that a connection may lie idle, in milliseconds
 */
public record RequestLimits(long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

    /** The limits before a manifest is known: 16 KiB, 64 MiB, 3 s and 15 s. */
    public static final RequestLimits DEFAULT = new RequestLimits(16 * 1024, 64L * 1024 * 1024, 3_000, 15_000);

    /** Checks the fields. */
    public RequestLimits {
        Checks.positive("maxHeaderBytes", maxHeaderBytes);
        Checks.positive("maxBodyBytes", maxBodyBytes);
        Checks.positive("headerTimeoutMillis", headerTimeoutMillis);
        Checks.positive("idleTimeoutMillis", idleTimeoutMillis);
    }
}
