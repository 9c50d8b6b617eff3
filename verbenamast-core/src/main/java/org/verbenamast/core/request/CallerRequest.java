package org.verbenamast.core.request;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.model.SliceId;

/**
 * A request as the caller sent it.
 *
 * @param service the service that the request is for
 * @param key the shard key, or an empty string if the service is not keyed
 * @param method the HTTP method
 * @param path the path and query that the backend server receives
 * @param headers the headers that are forwarded with the request
 * @param body the complete body
 * @param idempotencyKey the key under which the caller may resend the request, or an empty string
 * @param traceParent the W3C trace context, or an empty string
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

    /** Checks for nulls and copies the headers. */
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
     * Returns the slice whose owner is the only member that may execute the request. It is the slice of the key, or,
     * if the service is not keyed and the request is not idempotent, the slice of the idempotency key.
     *
     * @param settings the settings of the request's service
     * @return the slice, or empty if any member of the service may execute the request
     */
    public Optional<SliceId> requiredSlice(ServiceSettings settings) {
        if (settings.keyed()) {
            return Optional.of(settings.sliceOf(key));
        }
        return usesIdempotencyKey() ? Optional.of(settings.sliceOf(idempotencyKey)) : Optional.empty();
    }

    /**
     * Returns whether the request relies on its idempotency key: its method is not idempotent, but the caller may send
     * it again under the same key, because the owner of the key's slice records what it executed.
     *
     * @return true if the method is not idempotent and an idempotency key is given
     */
    public boolean usesIdempotencyKey() {
        return !method.idempotent() && !idempotencyKey.isEmpty();
    }

    /**
     * Returns a copy of this request with the trace context for the next hop.
     *
     * @param next the W3C trace context
     * @return the copy
     */
    public CallerRequest withTraceParent(String next) {
        return new CallerRequest(service, key, method, path, headers, body, idempotencyKey, next);
    }
}
