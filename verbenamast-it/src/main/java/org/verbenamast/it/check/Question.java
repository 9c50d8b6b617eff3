package org.verbenamast.it.check;

import java.net.ConnectException;
import java.util.Objects;

/**
 * What a caller asks, before anything has come of it.
 *
 * @param method the HTTP method
 * @param path the path, as the backend server sees it, without a query
 * @param key the key, or an empty text
 * @param bytes how many bytes are asked for
 * @param id the caller's id, which no other request has
 */
public record Question(String method, String path, String key, int bytes, String id) {

    private static final long NANOS_PER_MICRO = 1_000;

    /** Checks the fields. */
    public Question {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(id, "id");
    }

    /**
     * Returns what came of it, as it ends now.
     *
     * @param startMicros when it was sent, in microseconds of {@link #micros()}
     * @param outcome how it ended
     * @param reason the reason that was named, or an empty text
     * @param body the answer's body
     * @return the request and its end
     */
    public Ask ended(long startMicros, AskOutcome outcome, String reason, byte[] body) {
        return new Ask(key, method, path, bytes, id, startMicros, micros(), outcome, reason, body);
    }

    /**
     * Returns what came of it where there is no answer.
     *
     * @param startMicros when it was sent, in microseconds of {@link #micros()}
     * @param e why there is none
     * @return the request and its end
     */
    public Ask failed(long startMicros, Throwable e) {
        AskOutcome outcome = isNotConnected(e) ? AskOutcome.NOT_SENT : AskOutcome.CUT_OFF;
        return ended(startMicros, outcome, e.toString(), new byte[0]);
    }

    /**
     * Tells whether a failure means that no connection was made, so that nothing was sent.
     *
     * @param e the failure
     * @return whether nothing was sent
     */
    public static boolean isNotConnected(Throwable e) {
        return e instanceof ConnectException || e.getCause() instanceof ConnectException;
    }

    /**
     * Returns the time on the clock that all processes of the machine share.
     *
     * @return the time, in microseconds
     */
    public static long micros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }
}
