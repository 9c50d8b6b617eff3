package org.verbenamast.core.entry;

import java.util.HashMap;
import java.util.Map;

import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.node.Timing;

/** How busy each member is, from what its gate said last and from what this node has sent it since. */
final class MemberLoads {

    /** Service time that is assumed of a member that has not reported, in milliseconds. */
    private static final double UNKNOWN_SERVICE_MILLIS = 100;
    /** Factor by which a cold server is counted as slower; servers start at about half of their speed. */
    private static final double COLD_FACTOR = 3;
    /** Age at which half of a reported queue is assumed to be gone, in milliseconds. */
    private static final double HALF_GONE_MILLIS = 200;

    /**
     * Time for which a node's word that it is stopping holds, in nanoseconds. Its next life can only tell by being
     * asked, and a node that still stops refuses at once.
     */
    private static final long STOPPING_LASTS = Timing.millisToNanos(1_000);
    /**
     * Time after the last request to a member from which earlier ones no longer count, in nanoseconds; those that
     * broke with their node never come back, and few requests last longer.
     */
    private static final long SENT_LASTS = Timing.millisToNanos(2_000);

    private final Map<String, Seen> members = new HashMap<>();

    private static final class Seen {
        private AdmissionLoad load;
        private long at;
        private int sentSince;
        private long sentAt;

        private int sentSince(long now) {
            return now - sentAt < SENT_LASTS ? sentSince : 0;
        }
    }

    private Seen seen(String node) {
        return members.computeIfAbsent(node, name -> new Seen());
    }

    void sent(String node, long now) {
        Seen seen = seen(node);
        seen.sentSince = seen.sentSince(now) + 1;
        seen.sentAt = now;
    }

    void told(String node, AdmissionLoad load, long now) {
        Seen seen = seen(node);
        seen.load = load;
        seen.at = now;
        seen.sentSince = 0;
    }

    boolean stopping(String node, long now) {
        Seen seen = members.get(node);
        return seen != null && seen.load != null && seen.load.stopping() && now - seen.at < STOPPING_LASTS;
    }

    /** Returns how long a request sent now is expected to take at a member, in milliseconds. */
    double expectedMillis(String node, int slots, long now) {
        Seen seen = members.get(node);
        if (seen == null || seen.load == null) {
            return UNKNOWN_SERVICE_MILLIS * (1 + (seen == null ? 0 : (double) seen.sentSince(now) / slots));
        }
        double ageMillis = (double) (now - seen.at) / Timing.NANOS_PER_MILLI;
        double left = Math.pow(0.5, ageMillis / HALF_GONE_MILLIS);
        double reported = left * (seen.load.running() + seen.load.queued());
        double busy = reported + seen.sentSince(now);
        double service = seen.load.serviceMillis() * (seen.load.cold() ? COLD_FACTOR : 1);
        double ahead = Math.max(0, busy + 1 - slots);
        return service * (1 + ahead / slots) + busy / slots;
    }
}
