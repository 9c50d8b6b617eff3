package org.verbenamast.core.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;

/**
 * What a caller asks for.
 *
 * @param service the service
 * @param key the key, or an empty text where the service is not keyed
 * @param method the method
 * @param path the path and query that the backend server is to see
 * @param headers the headers that travel with the request
 * @param body the whole body
 * @param idempotencyKey the caller's own key for resends, or an empty text
 * @param traceParent the W3C trace context, or an empty text
 */
public record CallerRequest(
        ServiceName service,
        String key,
        Method method,
        String path,
        List<Header> headers,
        Body body,
        String idempotencyKey,
        String traceParent) {

    /** Checks the parts and copies the list. */
    public CallerRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
        Objects.requireNonNull(traceParent, "traceParent");
    }

    /**
     * Finds the slice whose owner alone may have the request run: that of the key, or that of the idempotency key
     * where the service is not keyed and the request is not idempotent.
     *
     * @param settings the settings of the request's service
     * @return the slice, or nothing where any member of the service may run the request
     */
    public Optional<SliceId> requiredSlice(ServiceSettings settings) {
        if (settings.keyed()) {
            return Optional.of(settings.sliceOf(key));
        }
        return usesIdempotencyKey() ? Optional.of(settings.sliceOf(idempotencyKey)) : Optional.empty();
    }

    /**
     * Tells whether the request must not be repeated, but its caller may send it again under its idempotency key.
     *
     * @return whether it is not idempotent and has an idempotency key
     */
    public boolean usesIdempotencyKey() {
        return !method.idempotent() && !idempotencyKey.isEmpty();
    }

    /**
     * Returns this request with another trace context, for the next hop.
     *
     * @param next the W3C trace context
     * @return the changed request
     */
    public CallerRequest withTraceParent(String next) {
        return new CallerRequest(service, key, method, path, headers, body, idempotencyKey, next);
    }
}
