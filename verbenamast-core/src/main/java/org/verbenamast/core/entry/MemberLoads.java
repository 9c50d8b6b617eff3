package org.verbenamast.core.entry;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.node.Timing;

/** How busy each member is, from what its gate said last and from what this node has sent it since. */
final class MemberLoads {

    /** Service time that is assumed of a member that has not reported, in milliseconds. */
    private static final double DEFAULT_SERVICE_MILLIS = 100;
    /** Factor by which a cold server is counted as slower; servers start at about half of their speed. */
    private static final double COLD_SLOWDOWN_FACTOR = 3;
    /** Age at which half of a reported queue is assumed to be gone, in milliseconds. */
    private static final double QUEUE_HALF_LIFE_MILLIS = 200;

    /**
     * Time for which a node's word that it is stopping holds, in nanoseconds. Its next life can only tell by being
     * asked, and a node that still stops refuses at once.
     */
    private static final long STOPPING_VALIDITY_NANOS = Timing.nanos(1_000);
    /**
     * Time after the last request to a member from which earlier ones no longer count, in nanoseconds; those that
     * broke with their node never come back, and few requests last longer.
     */
    private static final long SENDS_VALIDITY_NANOS = Timing.nanos(2_000);

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
        MemberLoad seen = memberLoad(node);
        seen.sendsSinceReport = seen.sendsSinceReport(now) + 1;
        seen.lastSentAt = now;
    }

    void onLoadReport(String node, AdmissionLoad load, long now) {
        MemberLoad seen = memberLoad(node);
        seen.reported = load;
        seen.reportedAt = now;
        seen.sendsSinceReport = 0;
    }

    boolean isStopping(String node, long now) {
        MemberLoad seen = members.get(node);
        return seen != null
                && seen.reported != null
                && seen.reported.stopping()
                && now - seen.reportedAt < STOPPING_VALIDITY_NANOS;
    }

    /** Returns how long a request sent now is expected to take at a member, in milliseconds. */
    double expectedMillis(String node, int slots, long now) {
        MemberLoad seen = members.get(node);
        if (seen == null || seen.reported == null) {
            return DEFAULT_SERVICE_MILLIS * (1 + (seen == null ? 0 : (double) seen.sendsSinceReport(now) / slots));
        }
        double ageMillis = (double) (now - seen.reportedAt) / Timing.NANOS_PER_MILLI;
        double left = Math.pow(0.5, ageMillis / QUEUE_HALF_LIFE_MILLIS);
        double reported = left * (seen.reported.running() + seen.reported.queued());
        double busy = reported + seen.sendsSinceReport(now);
        double service = seen.reported.serviceMillis() * (seen.reported.cold() ? COLD_SLOWDOWN_FACTOR : 1);
        double ahead = Math.max(0, busy + 1 - slots);
        return service * (1 + ahead / slots) + busy / slots;
    }
}
