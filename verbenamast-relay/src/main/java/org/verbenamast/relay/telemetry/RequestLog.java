package org.verbenamast.relay.telemetry;

import java.util.Locale;
import java.util.Objects;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the decisions that touch requests. Failures are always written; successes are sampled by a hash of the id, so
 * that every hop keeps the lines of the same requests.
 */
public enum RequestLog {
    /** The node that took the request from its caller. */
    ENTRY,
    /** The node beside the server. */
    GATE;

    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);

    /** One in this many successes is written; keeps the log's share of the processor time small. */
    private static final int SAMPLE = 64;
    /** Spreads hashes of ids that differ in a few last digits; two to the 32nd over the golden ratio. */
    private static final int SPREAD = 0x9E3779B9;

    /**
     * Writes that a request was not served.
     *
     * @param outcome what was decided
     * @param reason why
     * @param id the id of the caller's attempt
     * @param inputs what decided it, as fields
     */
    public void failed(String outcome, String reason, String id, Object... inputs) {
        Objects.requireNonNull(outcome, "outcome");
        write(outcome, reason, id, inputs);
    }

    /**
     * Writes that a request was served, where its id is in the sample.
     *
     * @param id the id of the caller's attempt
     * @param inputs what decided how it went, as fields
     */
    public void served(String id, Object... inputs) {
        if (sampled(id)) {
            write("answered", "", id, inputs);
        }
    }

    /**
     * Tells whether the successes of an id are written.
     *
     * @param id the id of the caller's attempt
     * @return whether it is in the sample; the same on every node
     */
    public static boolean sampled(String id) {
        return Integer.remainderUnsigned(id.hashCode() * SPREAD >>> Short.SIZE, SAMPLE) == 0;
    }

    private void write(String outcome, String reason, String id, Object... inputs) {
        String hop = name().toLowerCase(Locale.ROOT);
        Object[] fields = new Object[inputs.length + 4];
        fields[0] = LogField.HOP.of(hop);
        fields[1] = LogField.OUTCOME.of(outcome);
        fields[2] = LogField.REASON.of(reason);
        fields[3] = LogField.REQUEST.of(id);
        System.arraycopy(inputs, 0, fields, 4, inputs.length);
        LOG.info(hop + " " + outcome, fields);
    }
}
