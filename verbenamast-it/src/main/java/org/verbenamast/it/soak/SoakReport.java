package org.verbenamast.it.soak;

import java.util.List;
import java.util.Map;

import org.verbenamast.it.check.AskOutcome;
import org.verbenamast.it.check.Violation;

/**
 * What a soak found.
 *
 * @param plan what it was to do
 * @param faults what was done to which host, in order of time
 * @param outcomes how many requests ended in each way
 * @param recoveredMillis time from the end of the last fault until requests were answered again one after the other,
 *     in milliseconds; -1 where they were not
 * @param violations what contradicts the promises
 */
public record SoakReport(
        SoakPlan plan,
        List<String> faults,
        Map<AskOutcome, Long> outcomes,
        long recoveredMillis,
        List<Violation> violations) {

    /** Copies the collections. */
    public SoakReport {
        faults = List.copyOf(faults);
        outcomes = Map.copyOf(outcomes);
        violations = List.copyOf(violations);
    }

    /**
     * Tells whether every promise was kept.
     *
     * @return whether nothing contradicts them and service came back
     */
    public boolean sound() {
        return violations.isEmpty() && recoveredMillis >= 0;
    }
}
