package org.verbenamast.core.entry;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.node.Timing;

/** Estimates the load of each member from its last load report and the requests that this node has sent it since. */
final class MemberLoads {

    /** Service time that is assumed for a member that has not reported its load, in milliseconds. */
    private static final double DEFAULT_SERVICE_MILLIS = 100;
    /** Factor on the service time of a cold (recently started) server; servers start at about half their speed. */
    private static final double COLD_SLOWDOWN_FACTOR = 3;
    /** Age of a report at which half of the reported requests are assumed to have ended, in milliseconds. */
    private static final double QUEUE_HALF_LIFE_MILLIS = 200;

    /**
     * Time for which a node's report that it is stopping is valid, in nanoseconds. Only an attempt at the node shows
     * that its next incarnation has started, and a node that is still stopping refuses the attempt at once.
     */
    private static final long STOPPING_VALIDITY_NANOS = Timing.millisToNanos(1_000);
    /**
     * Time after the last request to a member from which the requests sent to it no longer count, in nanoseconds.
     * Requests that were lost with their node never return a load report, and few requests last longer.
     */
    private static final long SENDS_VALIDITY_NANOS = Timing.millisToNanos(2_000);

    /** Time for which a report that a member has free slots is valid, in nanoseconds. */
    private static final long IDLE_VALIDITY_NANOS = Timing.millisToNanos(2_000);

    private final Map<String, MemberLoad> members = new HashMap<>();

    private static final class MemberLoad {
        private AdmissionLoad reported;
        private long reportedAt;
        private int sendsSinceReport;
        private long lastSentAt;

        private int sendsSinceReport(long now) {
            return now - lastSentAt < SENDS_VALIDITY_NANOS ? sendsSinceReport : 0;
        }
    }

    private MemberLoad memberLoad(String node) {
        return members.computeIfAbsent(node, name -> new MemberLoad());
    }

    void onSent(String node, long now) {
        MemberLoad member = memberLoad(node);
        member.sendsSinceReport = member.sendsSinceReport(now) + 1;
        member.lastSentAt = now;
    }

    void onLoadReport(String node, AdmissionLoad load, long now) {
        MemberLoad member = memberLoad(node);
        member.reported = load;
        member.reportedAt = now;
        member.sendsSinceReport = 0;
    }

    boolean isStopping(String node, long now) {
        MemberLoad member = members.get(node);
        return member != null
                && member.reported != null
                && member.reported.stopping()
                && now - member.reportedAt < STOPPING_VALIDITY_NANOS;
    }

    /** Returns whether a member has reported lately that it has a free slot, and is neither cold nor stopping. */
    boolean isIdle(String node, int slots, long now) {
        MemberLoad member = members.get(node);
        return member != null
                && member.reported != null
                && now - member.reportedAt < IDLE_VALIDITY_NANOS
                && !member.reported.cold()
                && !member.reported.stopping()
                && member.reported.queued() == 0
                && member.reported.running() + member.sendsSinceReport(now) < slots;
    }

    /**
     * Returns how long a request that is sent now is expected to take at a member, in milliseconds: the wait for one of
     * its slots and the service time.
     */
    double expectedMillis(String node, int slots, long now) {
        MemberLoad member = members.get(node);
        if (member == null || member.reported == null) {
            return DEFAULT_SERVICE_MILLIS * (1 + (member == null ? 0 : (double) member.sendsSinceReport(now) / slots));
        }
        double ageMillis = (double) (now - member.reportedAt) / Timing.NANOS_PER_MILLI;
        double remaining = Math.pow(0.5, ageMillis / QUEUE_HALF_LIFE_MILLIS);
        double reportedRequests = remaining * (member.reported.running() + member.reported.queued());
        double requests = reportedRequests + member.sendsSinceReport(now);
        double serviceMillis = member.reported.serviceMillis() * (member.reported.cold() ? COLD_SLOWDOWN_FACTOR : 1);
        double ahead = Math.max(0, requests + 1 - slots);
        return serviceMillis * (1 + ahead / slots) + requests / slots;
    }
}
