package org.verbenamast.it.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that no slice of a service ever had two owners. */
public final class OwnershipCheck {

    private final Map<Integer, ServedRun> highest = new HashMap<>();
    private final Map<Integer, ServedRun> lastToEnd = new HashMap<>();
    private final Map<Owned, ServedRun> owners = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    private record Owned(int slice, long epoch) {}

    private OwnershipCheck() {}

    /**
     * Checks the runs of one service.
     *
     * @param served what its backend servers recorded, ordered by time
     * @return what contradicts the promise
     */
    public static List<Violation> of(List<ServedRun> served) {
        OwnershipCheck check = new OwnershipCheck();
        served.stream().filter(ServedRun::ran).filter(ServedRun::keyed).forEach(check::read);
        return check.violations;
    }

    private void read(ServedRun served) {
        checkOwner(served);
        checkEpoch(served);
        checkOverlap(served);
    }

    private void checkOwner(ServedRun served) {
        Owned owned = new Owned(served.run().slice(), served.run().epoch());
        ServedRun first = owners.putIfAbsent(owned, served);
        if (first != null && !first.host().equals(served.host())) {
            violations.add(Violation.shouldHaveOneOwner(first, served));
        }
    }

    private void checkEpoch(ServedRun served) {
        ServedRun before = highest.get(served.run().slice());
        if (before != null && before.run().epoch() > served.run().epoch()) {
            violations.add(Violation.shouldKeepEpochsGrowing(before, served));
        } else {
            highest.put(served.run().slice(), served);
        }
    }

    private void checkOverlap(ServedRun served) {
        ServedRun before = lastToEnd.get(served.run().slice());
        if (before != null && before.overlaps(served)) {
            violations.add(Violation.shouldEndBeforeTheNextOwnerRuns(before, served));
        }
        if (before == null || before.endMicros() <= served.endMicros()) {
            lastToEnd.put(served.run().slice(), served);
        }
    }
}
