package org.verbenamast.relay.telemetry;

import java.util.Objects;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.node.Timing;

/**
 * Writes the decisions that end requests at one hop, and counts them. Failures are always written; successes are
 * sampled by a hash of the id, so that every hop keeps the lines of the same requests.
 */
public final class RequestLog {

    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);

    /** One in this many successes is written; keeps the log's share of the processor time small. */
    private static final int SUCCESSES_PER_LINE = 64;
    /** Spreads hashes of ids that differ in a few last digits; two to the 32nd over the golden ratio. */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final Hop hop;
    private final RequestCounts counts;

    /**
     * Makes the log of a hop.
     *
     * @param hop the hop
     * @param counts counts what is written and what is not
     */
    public RequestLog(Hop hop, RequestCounts counts) {
        this.hop = Objects.requireNonNull(hop, "hop");
        this.counts = Objects.requireNonNull(counts, "counts");
    }

    /**
     * Counts the end of a request, and writes it where it failed or its id is in the sample.
     *
     * @param end how it ended
     * @param inputs makes the fields of what decided it; asked only where the end is written
     */
    public void recordEnd(RequestEnd end, Supplier<Object[]> inputs) {
        counts.recordEnd(hop, end);
        if (!end.served() || isSampled(end.attemptId())) {
            write(end, inputs.get());
        }
    }

    /**
     * Tells whether the successes of an id are written.
     *
     * @param id the id of the caller's attempt
     * @return whether it is in the sample; the same on every node
     */
    public static boolean isSampled(String id) {
        return Integer.remainderUnsigned(id.hashCode() * HASH_MULTIPLIER >>> Short.SIZE, SUCCESSES_PER_LINE) == 0;
    }

    private void write(RequestEnd end, Object[] inputs) {
        Object[] own = {
            LogField.HOP.of(hop.text()),
            LogField.OUTCOME.of(end.outcome()),
            LogField.REASON.of(end.reason()),
            LogField.REQUEST.of(end.attemptId()),
            LogField.ROUTE.of(end.route()),
            LogField.ELAPSED.of(end.elapsedNanos() / Timing.NANOS_PER_MILLI)
        };
        Object[] fields = new Object[own.length + inputs.length];
        System.arraycopy(own, 0, fields, 0, own.length);
        System.arraycopy(inputs, 0, fields, own.length, inputs.length);
        LOG.info(hop.text() + " " + end.outcome(), fields);
    }
}
