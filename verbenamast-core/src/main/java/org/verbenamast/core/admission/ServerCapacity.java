package org.verbenamast.core.admission;

import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.node.Timing;

/**
 * Learns from a server's own reports how many requests it can run for its node. Answers the load of a server that is
 * busy with requests that the node no longer counts: withdrawn ones that it has not dropped, and probes.
 */
final class ServerCapacity {

    /** Time after which a request is sent again that a server with room has rejected, in milliseconds. */
    private static final double MIN_REJECTED_RETRY_MILLIS = 25;

    private ServerLoad reported;
    private int lastExcess;
    private int uncounted;
    private long reportedAt;

    /**
     * Records a report. Requests that the node does not count are believed once two reports in a row show them: an
     * answer that was handled just before may have left the node's count but not the report.
     *
     * @param load the load that the server reports
     * @param counted the requests that the node had at the server when the report came, the answered one included
     * @param now the monotonic time, in nanoseconds
     */
    void record(ServerLoad load, int counted, long now) {
        reported = load;
        int excess = Math.max(0, load.running() + load.waiting() - counted);
        uncounted = Math.min(lastExcess, excess);
        lastExcess = excess;
        reportedAt = now;
    }

    /** Forgets all reports, as another incarnation of the server has started. */
    void reset() {
        reported = null;
        lastExcess = 0;
        uncounted = 0;
    }

    /**
     * Returns how many requests the node may have at the server; at least one, so that its reports go on.
     *
     * @param announced the slots that the server has announced
     * @param serviceMillis how long a request occupies a slot, in milliseconds; what was reported ends after this time
     * @param now the monotonic time, in nanoseconds
     */
    int usableSlots(int announced, double serviceMillis, long now) {
        if (reported == null) {
            return announced;
        }
        int slots = Math.min(announced, reported.slots());
        boolean outdated = now - reportedAt > serviceMillis * Timing.NANOS_PER_MILLI;
        return outdated ? slots : Math.max(1, slots - uncounted);
    }

    /** Returns when to send a rejected request again, given the wait if all slots are busy; in milliseconds. */
    double retryMillis(double waitMillis) {
        return reported != null && reported.isFull() ? waitMillis : MIN_REJECTED_RETRY_MILLIS;
    }
}
