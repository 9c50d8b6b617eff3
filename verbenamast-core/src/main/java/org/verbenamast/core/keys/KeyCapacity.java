package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/** What each server of a service can carry, from the reports of the nodes beside them. */
final class KeyCapacity {

    /** Service time of a server that has not reported, in milliseconds; the usual one of the deployments at hand. */
    private static final int USUAL_SERVICE_MILLIS = 150;
    /** Part of its capacity that a cold or unknown server is counted with; about what its cold rate allows. */
    private static final double COLD_PART = 0.4;
    /** Age from which a report no longer counts, in nanoseconds; several reports may be lost. */
    private static final long REPORT_LASTS = Timing.millisToNanos(3_000);

    private record Told(KeyLoadReport report, long at) {

        boolean counts(long now) {
            return now - at <= REPORT_LASTS;
        }
    }

    private final Map<ServerIncarnation, Told> told = new HashMap<>();

    void take(KeyLoadReport report, long now) {
        told.put(report.life(), new Told(report, now));
        told.values().removeIf(each -> !each.counts(now));
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
        Told last = told.get(member.life());
        if (last == null || !last.counts(now)) {
            return COLD_PART * member.slots() * 1_000 / USUAL_SERVICE_MILLIS;
        }
        KeyLoadReport report = last.report();
        double warm = report.slots() * 1_000.0 / report.serviceMillis();
        return report.cold() ? COLD_PART * warm : warm;
    }
}
