package org.verbenamast.standins.server;

/**
 * One request that reached a backend server, for a checker to read afterwards.
 *
 * @param request the request's identity
 * @param key the key, or an empty text
 * @param slice the slice's number, or -1
 * @param epoch the epoch that the request carried
 * @param method the method
 * @param path the path
 * @param idempotencyKey the caller's key for resends, or an empty text
 * @param startMicros when it started, on the clock that all processes of the machine share, in microseconds
 * @param atOnce how many requests ran at once, this one included
 * @param kind how the backend server took it: {@code ran}, {@code fenced}, {@code shed},
 *     {@code drained}, or {@code ended} for the end of a run
 */
public record Run(
        String request,
        String key,
        int slice,
        long epoch,
        String method,
        String path,
        String idempotencyKey,
        long startMicros,
        int atOnce,
        String kind) {

    /** The kind of a record that a request began to run. */
    public static final String RAN = "ran";
    /** The kind of a record that a run has ended. */
    public static final String ENDED = "ended";
}
