package org.verbenamast.relay.telemetry;

import net.logstash.logback.argument.StructuredArgument;
import net.logstash.logback.argument.StructuredArguments;

/** The fields of log lines about requests. Their names are fixed: tools and the operators' page go by them. */
public enum LogField {
    /** Which part of a node decided: {@code entry} or {@code gate}. */
    HOP("hop"),
    /** What was decided. */
    OUTCOME("outcome"),
    /** Why. */
    REASON("reason"),
    /** The id of the caller's attempt. */
    REQUEST("request"),
    /** The name of the manifest's route. */
    ROUTE("route"),
    /** The service that the route led to. */
    SERVICE("service"),
    /** The key, empty where the request has none. */
    KEY("key"),
    /** Time since the request came to this hop, in milliseconds. */
    ELAPSED("elapsedMillis"),
    /** Time that the caller or the sending node had left for it, in milliseconds. */
    ALLOWED("allowedMillis"),
    /** When the caller is told to come back, in milliseconds; 0 where it is told nothing. */
    RETRY_AFTER("retryAfterMillis"),
    /** The version of the manifest in force. */
    MANIFEST("manifest"),
    /** How many nodes were asked. */
    ASKED("asked"),
    /** The node that was asked last, empty where none was. */
    PEER("peer"),
    /** The run of the server that was meant. */
    SERVER("server"),
    /** Requests that the server was running. */
    RUNNING("running"),
    /** Requests that waited in front of the server. */
    QUEUED("queued"),
    /** The service time that the gate reckons with, in milliseconds. */
    SERVICE_TIME("serviceMillis"),
    /** What the caller asked for, where no route is known. */
    TARGET("target"),
    /** The first and the last key of a range. */
    KEYS("keys"),
    /** The fencing token of a range. */
    EPOCH("epoch"),
    /** The chart of what went on to another state. */
    CHART("chart"),
    /** What the chart is about: a run of a server, a table, a service. */
    SUBJECT("subject");

    /** Characters of a value beyond which it is cut; ids and targets come from outside and may be long. */
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
     * Makes a field of a log line.
     *
     * @param value the value; a long text is cut, with a mark
     * @return the field
     */
    public StructuredArgument of(Object value) {
        Object kept = value instanceof Number || value instanceof Boolean ? value : truncate(String.valueOf(value));
        return StructuredArguments.keyValue(text, kept);
    }

    private static String truncate(String value) {
        return value.length() <= MAX_CHARACTERS ? value : value.substring(0, MAX_CHARACTERS) + TRUNCATION_MARK;
    }
}
