package review;

import java.util.List;

/** The rule OWNER, as the holds of the instances show it. */
final class Owners {

    /** The rule: two instances that are up hold the same keys for over half a second. */
    private static final int LONGEST_OVERLAP_MS = 500;

    private Owners() {}

    /** Checks all holds so far; returns whether the rule held. */
    static boolean check(Deployment fleet, Recorder record) {
        long now = Recorder.now();
        boolean kept = true;
        List<Instance> instances = fleet.instances;
        for (int i = 0; i < instances.size(); i++) {
            for (int j = i + 1; j < instances.size(); j++) {
                kept &= check(instances.get(i), instances.get(j), now, record);
            }
        }
        record.write(kept ? "OWNER held" : "OWNER broken");
        return kept;
    }

    private static boolean check(Instance one, Instance other, long now, Recorder record) {
        boolean kept = true;
        for (Instance.Hold first : one.holds) {
            for (Instance.Hold second : other.holds) {
                int from = Math.max(first.from, second.from);
                int to = Math.min(first.to, second.to);
                long since = Math.max(first.since, second.since);
                long until = Math.min(now, Math.min(first.until, second.until));
                if (from <= to && until - since > LONGEST_OVERLAP_MS) {
                    kept = false;
                    record.write("%s (epoch number %d) and %s (epoch number %d) both held %d-%d for %d ms, from %d to %d;"
                                    + " requests begun on them meanwhile: %d and %d",
                            one.id, first.fence, other.id, second.fence, from, to, until - since, since, until,
                            runs(one, from, to, since, until), runs(other, from, to, since, until));
                }
            }
        }
        return kept;
    }

    private static long runs(Instance instance, int from, int to, long since, long until) {
        return instance.runs.stream()
                .filter(run -> run.key() >= from && run.key() <= to && run.at() >= since && run.at() <= until)
                .count();
    }
}
