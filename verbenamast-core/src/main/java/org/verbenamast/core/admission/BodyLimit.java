package org.verbenamast.core.admission;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.node.Timing;

/**
 * Limits the large bodies that are on their way to the server to what the node's link carries in a short time. Answers
 * the load of uploads on a narrow link: all other requests that arrive wait behind the bodies that have been accepted.
 */
final class BodyLimit {

    /** Weight of a new sample, as a ratio; the average covers about the last ten bodies. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Time for which another request may wait behind accepted bodies, in milliseconds. */
    private static final double MAX_DELAY_MILLIS = 100;
    /**
     * Time after which a body is expected to arrive at its sender's pace and not at the link's, in nanoseconds; it no
     * longer counts.
     */
    private static final long SLOW_NANOS = Timing.millisToNanos(300);

    /** When the bodies that are on their way were accepted, by the number of their request, oldest first. */
    private final Map<Long, Long> acceptedAt = new LinkedHashMap<>();

    private double meanMillis = Double.NaN;
    private long lastArrivedAt;

    /** Records whether a request with a large body is at the server. */
    void record(long id, boolean isAtServer, long now) {
        if (isAtServer) {
            acceptedAt.putIfAbsent(id, now);
        } else {
            acceptedAt.remove(id);
        }
    }

    /** Records that a body has arrived; the bodies share the link, so that the time since the last one is its own. */
    void recordArrival(long id, long now) {
        Long accepted = acceptedAt.remove(id);
        if (accepted != null) {
            double millis = (double) (now - Math.max(accepted, lastArrivedAt)) / Timing.NANOS_PER_MILLI;
            meanMillis = Double.isNaN(meanMillis) ? millis : meanMillis + SMOOTHING_FACTOR * (millis - meanMillis);
            lastArrivedAt = now;
        }
    }

    /** Stops counting the bodies that have taken too long. */
    void forgetSlow(long now) {
        acceptedAt.values().removeIf(accepted -> now - accepted >= SLOW_NANOS);
    }

    /** Returns when the oldest body that is on its way stops counting, in nanoseconds of the monotonic clock. */
    long nextExpiry() {
        return acceptedAt.isEmpty()
                ? Deadlines.NOT_ARMED
                : acceptedAt.values().iterator().next() + SLOW_NANOS;
    }

    /** Returns for how long the body of a request occupies the link, in milliseconds; 0 if it is small or unknown. */
    double millis(AdmissionRequest request) {
        return request.hasLargeBody() && !Double.isNaN(meanMillis) ? meanMillis : 0;
    }

    /** Returns whether the link has room for the body of a request. */
    boolean allows(AdmissionRequest request) {
        return !request.hasLargeBody() || acceptedAt.size() < maxOnTheWay();
    }

    private double maxOnTheWay() {
        return Double.isNaN(meanMillis) ? 1 : Math.max(1, Math.floor(MAX_DELAY_MILLIS / Math.max(1, meanMillis)));
    }

    /** Returns how long a request waits for the link behind others, in milliseconds. */
    double waitMillis(AdmissionRequest request, Collection<AdmissionRequest> ahead) {
        if (!request.hasLargeBody()) {
            return 0;
        }
        long before = acceptedAt.size()
                + ahead.stream().filter(AdmissionRequest::hasLargeBody).count();
        return Math.max(0, before + 1 - maxOnTheWay()) * millis(request);
    }
}
