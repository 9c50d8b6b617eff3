package org.verbenamast.load;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/** Counts the outcomes of a service and records its latencies. */
final class LoadTally {

    private static final int DIGITS = 3;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double P999 = 99.9;
    private static final long NANOS_PER_MICRO = 1_000L;

    private final Histogram latencies = new Histogram(DIGITS);
    private final Map<LoadOutcome, Long> outcomes = new EnumMap<>(LoadOutcome.class);
    private long sent;

    void sent() {
        sent++;
    }

    void ended(LoadOutcome outcome, long nanos) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (outcome == LoadOutcome.ANSWERED) {
            latencies.recordValue(Math.max(0, nanos) / NANOS_PER_MICRO);
        }
    }

    LoadFigures figures(String name) {
        long answered = count(LoadOutcome.ANSWERED);
        long notRun = count(LoadOutcome.NOT_RUN);
        long unknown = count(LoadOutcome.UNKNOWN);
        return new LoadFigures(
                name,
                sent,
                answered,
                notRun,
                unknown,
                sent - answered - notRun - unknown,
                latencies.getValueAtPercentile(P50),
                latencies.getValueAtPercentile(P99),
                latencies.getValueAtPercentile(P999),
                latencies.getMaxValue());
    }

    private long count(LoadOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }
}
