package org.verbenamast.core.gate.crash;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * Identifies requests with the same content: service, method, key, path and body.
 *
 * @param value a hash of the content: CRC-32C of the other parts in the upper half, of the body in the lower
 */
public record Fingerprint(long value) {

    private static final int HALF_BITS = 32;
    private static final long LOW_HALF = 0xffff_ffffL;

    /**
     * Returns the fingerprint of a request.
     *
     * @param request the request
     * @return the fingerprint
     */
    public static Fingerprint of(CallerRequest request) {
        CRC32C head = new CRC32C();
        update(head, request.service().value());
        update(head, request.method().name());
        update(head, request.key());
        update(head, request.path());
        CRC32C body = new CRC32C();
        body.update(request.body().bytes());
        return of(head, body);
    }

    static Fingerprint of(CRC32C head, CRC32C body) {
        return new Fingerprint((head.getValue() << HALF_BITS) | (body.getValue() & LOW_HALF));
    }

    /** Returns the part of the fingerprint that does not depend on the body. */
    int head() {
        return (int) (value >>> HALF_BITS);
    }

    private static void update(CRC32C hash, String part) {
        hash.update(part.getBytes(StandardCharsets.UTF_8));
        hash.update(0);
    }

    /**
     * Returns the slice whose owner is the only member that runs a suspected request of a service that is not keyed.
     *
     * @param service the service
     * @return the slice
     */
    public SliceId slice(ServiceSettings service) {
        return service.sliceOf(Long.toHexString(value));
    }
}
