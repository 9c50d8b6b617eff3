package org.verbenamast.relay.telemetry;

import net.logstash.logback.argument.StructuredArgument;
import net.logstash.logback.argument.StructuredArguments;

/** The fields of log lines. Their names are fixed, because tools parse them and the operators' page documents them. */
public enum LogField {
    /** The part of a node that decided: {@code entry} or {@code gate}. */
    HOP("hop"),
    /** How the request ended, for example {@code answered} or {@code refused}. */
    OUTCOME("outcome"),
    /** Why the request ended so; empty if it was answered. */
    REASON("reason"),
    /** The id of the caller's attempt. */
    REQUEST("request"),
    /** The name of the manifest's route. */
    ROUTE("route"),
    /** The service that the route leads to. */
    SERVICE("service"),
    /** The tenant whose request it is, empty if it belongs to none. */
    TENANT("tenant"),
    /** The key, empty if the request has none. */
    KEY("key"),
    /** Time since the request arrived at this hop, in milliseconds. */
    ELAPSED("elapsedMillis"),
    /** Time until the deadline when the request arrived at this hop, in milliseconds. */
    ALLOWED("allowedMillis"),
    /** Delay after which the caller should retry, in milliseconds; 0 if it gets no such hint. */
    RETRY_AFTER("retryAfterMillis"),
    /** The version of the manifest in force. */
    MANIFEST("manifest"),
    /** The number of nodes to which the request was sent. */
    ASKED("asked"),
    /** The node to which the request was sent last, empty if there was none. */
    PEER("peer"),
    /** The server incarnation to which the line refers. */
    SERVER("server"),
    /** Number of requests that the server was executing. */
    RUNNING("running"),
    /** Number of requests that were queued in front of the server. */
    QUEUED("queued"),
    /** The service time that the admission controller assumes, in milliseconds. */
    SERVICE_TIME("serviceMillis"),
    /** The time for which a large answer occupies the node's link, as the admission controller assumes. */
    TRANSFER_TIME("transferMillis"),
    /** The host and URI of a request for which no route is known. */
    TARGET("target"),
    /** The first and the last key of a range. */
    KEYS("keys"),
    /** The fencing token of a range. */
    EPOCH("epoch"),
    /** The chart in which the state changed. */
    CHART("chart"),
    /** The object whose state changed: a server incarnation, a table or a service. */
    SUBJECT("subject"),
    /** The number of a call that follows a table of the store. */
    CALL("call"),
    /** The version after which a call asked for changes; 0 if it asked for all rows. */
    AFTER_VERSION("afterVersion"),
    /** The store's version as of an answer. */
    STORE_VERSION("storeVersion"),
    /** The number of rows in an answer of the store. */
    ROWS("rows"),
    /** The length of the body that has arrived. */
    BYTES("bytes"),
    /** Time from a call to the first byte of its answer, in milliseconds. */
    FIRST_BYTE_TIME("firstByteMillis"),
    /** Time from the first byte of an answer to the last one that arrived, in milliseconds. */
    RECEIVE_TIME("receiveMillis"),
    /** Time for decoding an answer and applying its rows, in milliseconds. */
    APPLY_TIME("applyMillis");

    /** Longer values are truncated; ids and targets come from callers and may have any length. */
    private static final int MAX_CHARACTERS = 200;

    private static final String TRUNCATION_MARK = "...";

    private final String text;

    LogField(String text) {
        this.text = text;
    }

    /**
     * Returns the name in the log line.
     *
     * @return the name
     */
    public String text() {
        return text;
    }

    /**
     * Creates a key-value argument for a log line.
     *
     * @param value the value; a long text is truncated and marked as such
     * @return the argument
     */
    public StructuredArgument of(Object value) {
        Object shown = value instanceof Number || value instanceof Boolean ? value : truncate(String.valueOf(value));
        return StructuredArguments.keyValue(text, shown);
    }

    private static String truncate(String value) {
        return value.length() <= MAX_CHARACTERS ? value : value.substring(0, MAX_CHARACTERS) + TRUNCATION_MARK;
    }
}
