package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/** The capacity of each server of a service, from the load reports of the nodes beside the servers. */
final class KeyCapacity {

    /** Assumed service time of a server without a report, in milliseconds; typical of existing deployments. */
    private static final int DEFAULT_SERVICE_MILLIS = 150;
    /**
     * Ratio of the full capacity that is assumed for a server without a report or a cold one, which has just started
     * and is still slow; about the rate that a cold server sustains.
     */
    private static final double COLD_CAPACITY_RATIO = 0.4;
    /** Age after which a report is ignored, in nanoseconds; tolerates the loss of several reports in a row. */
    private static final long REPORT_TTL_NANOS = Timing.millisToNanos(3_000);

    private record ReceivedReport(KeyLoadReport report, long receivedAt) {

        boolean isCurrent(long now) {
            return now - receivedAt <= REPORT_TTL_NANOS;
        }
    }

    private final Map<ServerIncarnation, ReceivedReport> reports = new HashMap<>();

    void onLoadReport(KeyLoadReport report, long now) {
        reports.put(report.incarnation(), new ReceivedReport(report, now));
        reports.values().removeIf(each -> !each.isCurrent(now));
    }

    /** Returns the members as candidates; the capacity of each is in requests per second. */
    List<KeyCandidate> candidates(List<Member> serving, long now) {
        List<KeyCandidate> candidates = new ArrayList<>();
        for (Member member : serving) {
            candidates.add(new KeyCandidate(member.incarnation(), requestsPerSecond(member, now)));
        }
        candidates.sort((first, second) ->
                first.incarnation().id().compareTo(second.incarnation().id()));
        return candidates;
    }

    private double requestsPerSecond(Member member, long now) {
        ReceivedReport latest = reports.get(member.incarnation());
        if (latest == null || !latest.isCurrent(now)) {
            return COLD_CAPACITY_RATIO * member.slots() * 1_000 / DEFAULT_SERVICE_MILLIS;
        }
        KeyLoadReport report = latest.report();
        double warm = report.slots() * 1_000.0 / report.serviceMillis();
        return report.cold() ? COLD_CAPACITY_RATIO * warm : warm;
    }
}
