package org.verbenamast.it.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks what callers were told against what ran. */
public final class RequestCheck {

    private final Map<String, List<ServedRun>> runs = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private RequestCheck(List<ServedRun> served) {
        served.stream().filter(ServedRun::ran).forEach(one -> runs.computeIfAbsent(
                        one.run().idempotencyKey(), key -> new ArrayList<>())
                .add(one));
    }

    /**
     * Checks requests, each of which carried an idempotency key of its own; resends carry the same one.
     *
     * @param asks what the callers asked
     * @param served what the backend servers recorded
     * @return what contradicts the promises
     */
    public static List<Violation> of(List<Ask> asks, List<ServedRun> served) {
        RequestCheck check = new RequestCheck(served);
        asks.forEach(check::check);
        return check.violations;
    }

    private void check(Ask ask) {
        List<ServedRun> ran = runs.getOrDefault(ask.idempotencyKey(), List.of());
        if (ran.size() > 1 && !ask.mayRepeat()) {
            violations.add(Violation.shouldRunOnce(ran.get(0), ran.get(1)));
        }
        switch (ask.outcome()) {
            case NOT_RUN, NOT_SENT -> checkNotRun(ask, ran);
            case ANSWERED -> checkAnswer(ask, ran);
            default -> {
                // Nothing was promised about the run.
            }
        }
    }

    private void checkNotRun(Ask ask, List<ServedRun> ran) {
        if (!ran.isEmpty()) {
            violations.add(Violation.shouldNotHaveRun(ask, ran.get(0)));
        }
    }

    private void checkAnswer(Ask ask, List<ServedRun> ran) {
        if (ran.isEmpty()) {
            violations.add(Violation.shouldHaveRun(ask));
        }
        if (!ask.holdsItsOwnAnswer()) {
            violations.add(Violation.shouldHoldItsOwnAnswer(ask));
        }
    }
}
