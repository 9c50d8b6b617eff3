package org.verbenamast.core.tenant;

import java.util.Objects;

/**
 * Whether a request lies within the cap of its tenant.
 *
 * @param kind what becomes of the request
 * @param tokenExpiresAt until when its token is valid, in nanoseconds of the monotonic clock; 0 if it has none
 * @param retryAfterMillis when there will be a token, in milliseconds; 0 unless the request is refused
 */
public record CapDecision(Kind kind, long tokenExpiresAt, long retryAfterMillis) {

    /** The decision on a request whose tenant has no cap. */
    static final CapDecision UNLIMITED = new CapDecision(Kind.ADMITTED, 0, 0);
    /** The decision on a request that an effect admits or refuses later. */
    static final CapDecision HELD = new CapDecision(Kind.HELD, 0, 0);

    /** What becomes of a request. */
    public enum Kind {
        /** It may be sent to a server. */
        ADMITTED,
        /** It waits for an answer of the bank. */
        HELD,
        /** It lies beyond the cap. */
        REFUSED
    }

    /** Checks the kind. */
    public CapDecision {
        Objects.requireNonNull(kind, "kind");
    }

    static CapDecision admitted(long tokenExpiresAt) {
        return new CapDecision(Kind.ADMITTED, tokenExpiresAt, 0);
    }

    static CapDecision refused(long retryAfterMillis) {
        return new CapDecision(Kind.REFUSED, 0, retryAfterMillis);
    }
}
