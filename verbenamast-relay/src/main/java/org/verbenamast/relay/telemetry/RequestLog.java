package org.verbenamast.relay.telemetry;

import java.util.Objects;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.node.Timing;

/**
 * Logs and counts the decisions that end requests at one hop. Failures are always logged; successes are sampled by a
 * hash of the attempt id, so that every hop logs the same requests.
 */
public final class RequestLog {

    private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);

    /** One in this many successes is logged, to keep the CPU time for logging small. */
    private static final int SUCCESSES_PER_LINE = 64;
    /** 2^32 divided by the golden ratio; distributes the hashes of ids that differ only in their last digits. */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final Hop hop;
    private final RequestCounts counts;

    /**
     * Creates the log of a hop.
     *
     * @param hop the hop
     * @param counts counts all ends, including those that are not logged
     */
    public RequestLog(Hop hop, RequestCounts counts) {
        this.hop = Objects.requireNonNull(hop, "hop");
        this.counts = Objects.requireNonNull(counts, "counts");
    }

    /**
     * Counts the end of a request, and logs it if the request failed or its id is in the sample.
     *
     * @param end how it ended
     * @param inputs supplies the fields with the inputs of the decision; called only if the end is logged
     */
    public void recordEnd(RequestEnd end, Supplier<Object[]> inputs) {
        counts.recordEnd(hop, end);
        if (!end.served() || isSampled(end.attemptId())) {
            write(end, inputs.get());
        }
    }

    /**
     * Returns whether a success with this id is logged.
     *
     * @param attemptId the id of the caller's attempt
     * @return whether it is in the sample; the same on every node
     */
    public static boolean isSampled(String attemptId) {
        return Integer.remainderUnsigned(attemptId.hashCode() * HASH_MULTIPLIER >>> Short.SIZE, SUCCESSES_PER_LINE)
                == 0;
    }

    private void write(RequestEnd end, Object[] inputs) {
        Object[] common = {
            LogField.HOP.of(hop.text()),
            LogField.OUTCOME.of(end.outcome()),
            LogField.REASON.of(end.reason()),
            LogField.REQUEST.of(end.attemptId()),
            LogField.ROUTE.of(end.route()),
            LogField.ELAPSED.of(end.elapsedNanos() / Timing.NANOS_PER_MILLI)
        };
        Object[] fields = new Object[common.length + inputs.length];
        System.arraycopy(common, 0, fields, 0, common.length);
        System.arraycopy(inputs, 0, fields, common.length, inputs.length);
        LOG.info(hop.text() + " " + end.outcome(), fields);
    }
}
