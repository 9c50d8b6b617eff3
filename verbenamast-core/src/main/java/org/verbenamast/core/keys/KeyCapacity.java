package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerLife;

/** What each server of a service can carry, from the reports of the nodes beside them. */
final class KeyCapacity {

    /** Service time of a server that has not reported, in milliseconds; the usual one of the deployments at hand. */
    private static final int USUAL_SERVICE_MILLIS = 150;
    /** Part of its capacity that a cold or unknown server is counted with; about what its cold rate allows. */
    private static final double COLD_PART = 0.4;
    /** Age from which a report no longer counts, in nanoseconds; several reports may be lost. */
    private static final long REPORT_LASTS = Timing.nanos(3_000);

    private final Map<ServerLife, HeatReport> reports = new HashMap<>();
    private final Map<ServerLife, Long> reportedAt = new HashMap<>();

    void take(HeatReport report, long now) {
        reports.put(report.life(), report);
        reportedAt.put(report.life(), now);
        reportedAt.values().removeIf(at -> now - at > REPORT_LASTS);
        reports.keySet().retainAll(reportedAt.keySet());
    }

    /** Returns the members as candidates, each with the requests that it can carry in a second. */
    List<KeyCandidate> candidates(List<Member> serving, long now) {
        List<KeyCandidate> candidates = new ArrayList<>();
        for (Member member : serving) {
            candidates.add(new KeyCandidate(member.life(), perSecond(member, now)));
        }
        candidates.sort((one, other) -> one.life().id().compareTo(other.life().id()));
        return candidates;
    }

    private double perSecond(Member member, long now) {
        Long at = reportedAt.get(member.life());
        if (at == null || now - at > REPORT_LASTS) {
            return COLD_PART * member.slots() * 1_000 / USUAL_SERVICE_MILLIS;
        }
        HeatReport report = reports.get(member.life());
        double warm = report.slots() * 1_000.0 / report.serviceMillis();
        return report.cold() ? COLD_PART * warm : warm;
    }
}
