package org.verbenamast.core.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import org.verbenamast.core.node.Timing;

/**
 * Limits the requests with large answers that are in flight to what the node's link carries, like a congestion window:
 * as many as the link transfers in the time that one of them takes if the link is free. More would only wait for the
 * link, and delay all answers behind them.
 */
final class TransferLimit {

    /** Weight of a new sample, as a ratio; the average covers about the last ten answers. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Smallest limit, as a count of requests; with two, the link is busy while the server works. */
    private static final int MIN_IN_FLIGHT = 2;

    private final ServiceTimes serviceTimes;
    private final Set<Long> inFlight = new HashSet<>();
    private double meanMillis = Double.NaN;
    private long lastReceivedAt;

    TransferLimit(ServiceTimes serviceTimes) {
        this.serviceTimes = Objects.requireNonNull(serviceTimes, "serviceTimes");
    }

    /** Records whether a request is at the server or its large answer on its way. */
    void record(long id, boolean isInFlight) {
        if (isInFlight) {
            inFlight.add(id);
        } else {
            inFlight.remove(id);
        }
    }

    /**
     * Records that a sender has received a large answer. Answers share the link, so that the time since the receipt of
     * another one is the time that this one took.
     *
     * @param answeredAt when the server had answered, in nanoseconds of the monotonic clock
     * @param now the monotonic time, in nanoseconds
     */
    void recordReceipt(long answeredAt, long now) {
        double millis = (double) (now - Math.max(answeredAt, lastReceivedAt)) / Timing.NANOS_PER_MILLI;
        meanMillis = Double.isNaN(meanMillis) ? millis : meanMillis + SMOOTHING_FACTOR * (millis - meanMillis);
        lastReceivedAt = now;
    }

    /** Returns for how long a large answer occupies the link, in milliseconds; 0 before the first one. */
    double millis() {
        return Double.isNaN(meanMillis) ? 0 : meanMillis;
    }

    /** Returns for how long the answer to a request occupies the link, in milliseconds; 0 if it is small. */
    double millis(AdmissionRequest request) {
        return request.hasLargeAnswer() ? millis() : 0;
    }

    /** Returns whether the link has room for the answer to a request by the time that the server has made it. */
    boolean allows(AdmissionRequest request) {
        return !request.hasLargeAnswer() || inFlight.size() < maxInFlight(request);
    }

    private double maxInFlight(AdmissionRequest request) {
        return Math.max(MIN_IN_FLIGHT, 1 + Math.ceil(serviceTimes.millis(request.route()) / millis()));
    }

    /** Returns how long a request waits for the link behind others, in milliseconds. */
    double waitMillis(AdmissionRequest request, Collection<AdmissionRequest> ahead) {
        if (!request.hasLargeAnswer()) {
            return 0;
        }
        long before = inFlight.size()
                + ahead.stream().filter(AdmissionRequest::hasLargeAnswer).count();
        double excess = Math.max(0, before + 1 - maxInFlight(request));
        return excess == 0 ? 0 : excess * millis();
    }
}
