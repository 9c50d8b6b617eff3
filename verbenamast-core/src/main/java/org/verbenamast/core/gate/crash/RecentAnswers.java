package org.verbenamast.core.gate.crash;

import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenamast.core.node.Timing;

/** The requests that a server has answered lately, as this node has seen: they crash no server. */
final class RecentAnswers {

    private static final int MAX_REQUESTS = 1_024;
    /** Time for which an answer counts, in nanoseconds. */
    private static final long ANSWER_LIFETIME_NANOS = Timing.millisToNanos(60_000);

    private final Map<Fingerprint, Long> answeredAt = new LinkedHashMap<>();

    void add(Fingerprint request, long now) {
        answeredAt.remove(request);
        answeredAt.put(request, now);
        if (answeredAt.size() > MAX_REQUESTS) {
            answeredAt.remove(answeredAt.keySet().iterator().next());
        }
    }

    boolean contains(Fingerprint request, long now) {
        Long at = answeredAt.get(request);
        return at != null && now - at < ANSWER_LIFETIME_NANOS;
    }
}
