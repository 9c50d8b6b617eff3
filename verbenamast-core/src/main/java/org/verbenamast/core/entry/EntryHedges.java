package org.verbenamast.core.entry;

import org.verbenamast.core.hedge.HedgeDelays;
import org.verbenamast.core.hedge.HedgeRule;

/** How long the first attempts of requests may take before hedges are sent. */
final class EntryHedges {

    private final HedgeDelays delays;

    EntryHedges(long hedgesPerMille) {
        delays = new HedgeDelays(hedgesPerMille > 0 ? HedgeRule.WHEN_SLOW : HedgeRule.NEVER);
    }

    /** Returns how long the first attempt may take; hedges of large answers would take a second share of links. */
    long delayNanos(EntryRequest request) {
        boolean hedgeable =
                request.route().kind().isRepeatable() && !request.route().kind().hasLargeAnswers();
        return delays.delayNanos(
                request.route().name(),
                request.service(),
                hedgeable,
                request.key().isPresent());
    }

    /** Records the latency of a good answer, and for how long an attempt that is going to be withdrawn has taken. */
    void recordAnswer(EntryData data, SentAttempt answered, long now) {
        record(data, answered, now);
        data.attempts()
                .main()
                .filter(main -> main.number() < answered.number())
                .ifPresent(main -> record(data, main, now));
    }

    private void record(EntryData data, SentAttempt attempt, long now) {
        EntryRequest request = data.request();
        delays.record(request.route().name(), request.service(), now - attempt.sentAt());
    }
}
