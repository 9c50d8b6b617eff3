package org.verbenamast.node.caller;

import io.activej.http.HttpRequest;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.Method;
import org.verbenamast.node.http.Headers;

/** Reads callers' requests. */
final class CallerRequests {

    private CallerRequests() {}

    /**
     * Reads a request such as {@code GET /stock/items/17}: the first part of the path names the service, the rest is
     * for the backend server.
     *
     * @param http the HTTP request
     * @param body its body
     * @return the request
     * @throws IllegalArgumentException where the method or the path is not allowed
     */
    static CallerRequest of(HttpRequest http, Body body) {
        Method method = Method.valueOf(http.getMethod().name());
        String path = http.getPathAndQuery();
        int end = endOfService(path);
        return new CallerRequest(
                new ServiceName(path.substring(1, end)),
                Headers.textOf(http, Headers.KEY),
                method,
                end == path.length() ? "/" : absolute(path.substring(end)),
                Headers.passedOn(http),
                body,
                Headers.textOf(http, Headers.IDEMPOTENCY_KEY),
                Headers.textOf(http, Headers.TRACE_PARENT));
    }

    private static int endOfService(String path) {
        for (int i = 1; i < path.length(); i++) {
            if (path.charAt(i) == '/' || path.charAt(i) == '?') {
                return i;
            }
        }
        return Math.max(1, path.length());
    }

    private static String absolute(String rest) {
        return rest.startsWith("/") ? rest : "/" + rest;
    }
}
