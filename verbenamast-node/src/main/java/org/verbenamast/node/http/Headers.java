package org.verbenamast.node.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import org.verbenamast.core.request.Header;

/** The headers that the node reads and writes itself, and those that it passes on. */
public final class Headers {

    /** The key of a request to a keyed service. */
    public static final HttpHeader KEY = HttpHeaders.of("Verbenamast-Key");
    /** The time until the deadline, in milliseconds. */
    public static final HttpHeader DEADLINE_MILLIS = HttpHeaders.of("Verbenamast-Deadline-Millis");
    /** The identity of a request. */
    public static final HttpHeader REQUEST_ID = HttpHeaders.of("Verbenamast-Request-Id");
    /** The slice of a request's key. */
    public static final HttpHeader SLICE = HttpHeaders.of("Verbenamast-Slice");
    /** The epoch under which the slice is owned. */
    public static final HttpHeader EPOCH = HttpHeaders.of("Verbenamast-Epoch");
    /** Whether a request ran: {@code answered}, {@code not-run} or {@code unknown}. */
    public static final HttpHeader OUTCOME = HttpHeaders.of("Verbenamast-Outcome");
    /** Why a request did not run, or why nobody can tell. */
    public static final HttpHeader REASON = HttpHeaders.of("Verbenamast-Reason");
    /** Set by a backend server that refuses a request without running it. */
    public static final HttpHeader NOT_RUN = HttpHeaders.of("Verbenamast-Not-Run");
    /** The caller's own key for resends. */
    public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    /** The W3C trace context. */
    public static final HttpHeader TRACE_PARENT = HttpHeaders.of("traceparent");

    private static final Set<String> NOT_PASSED_ON = Set.of(
            "host",
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "traceparent",
            "verbenamast-key",
            "verbenamast-deadline-millis",
            "verbenamast-request-id",
            "verbenamast-slice",
            "verbenamast-epoch",
            "verbenamast-outcome",
            "verbenamast-reason",
            "verbenamast-not-run");

    private Headers() {}

    /**
     * Lists the headers of a message that travel on to the next hop.
     *
     * @param message the message
     * @return the headers
     */
    public static List<Header> passedOn(HttpMessage message) {
        List<Header> headers = new ArrayList<>();
        for (Map.Entry<HttpHeader, HttpHeaderValue> entry : message.getHeaders()) {
            String name = entry.getKey().toString();
            if (!NOT_PASSED_ON.contains(name.toLowerCase(Locale.ROOT))) {
                headers.add(new Header(name, entry.getValue().toString()));
            }
        }
        return headers;
    }

    /**
     * Reads a header that may be missing.
     *
     * @param message the message
     * @param header the header
     * @return its value, or an empty text
     */
    public static String textOf(HttpMessage message, HttpHeader header) {
        String value = message.getHeader(header);
        return value == null ? "" : value;
    }

    /**
     * Reads how long a message says its body is. The HTTP parser has refused a length that is not a number.
     *
     * @param message the message
     * @return the length in bytes, or 0 where it is not said
     */
    public static long announcedBytes(HttpMessage message) {
        String length = textOf(message, HttpHeaders.CONTENT_LENGTH);
        return length.isEmpty() ? 0 : Long.parseLong(length);
    }
}
