package review;

import java.util.List;

/**
 * FAILBACK: an instance under its usual load turns cold again between two check-ins. It must not get more requests in
 * a second than a cold instance may.
 */
final class ColdAgain {

    /** The manifest's coldPerS and the sheet's coldOverage and coldSlack. */
    private static final double COLD_PER_S = 7.2;
    private static final double MOST_PER_S = COLD_PER_S * 1.5 + 5;
    /** The manifest's coldStartS. */
    private static final int COLD_MS = 3_000;
    /** A rate "well above" coldPerS, at which a cold instance crashes: three times that. */
    private static final int CRASHES_ABOVE = 21;
    /** How long after a check-in the instance turns cold. */
    private static final int AFTER_CHECK_IN_MS = 150;

    boolean holds(Recorder record, boolean trouble) throws Exception {
        try (Deployment fleet = new Deployment(record, Deployment.PLAIN, 3)) {
            Instance cold = fleet.startInstance("i-a0", fleet.nodes.get(0), false, 100, 400);
            fleet.startInstance("i-b0", fleet.nodes.get(1), false, 100, 400);
            fleet.startInstance("i-c0", fleet.nodes.get(2), false, 100, 400);
            fleet.awaitReady();
            Orders orders = new Orders(fleet, fleet.nodes, 5);
            Deployment.await("all instances run requests", 30, () -> fleet.instances.stream()
                    .allMatch(each -> each.runs.size() > 50));
            Threads.sleep(4_000);
            long beat = cold.lastBeatAt;
            Deployment.await("the next check-in", 5, () -> cold.lastBeatAt != beat);
            Threads.sleep(AFTER_CHECK_IN_MS);
            if (trouble) {
                cold.turnCold(COLD_MS, CRASHES_ABOVE);
            }
            Threads.sleep(COLD_MS + 1_000);
            orders.stop();
            return check(fleet, cold, record);
        }
    }

    private static boolean check(Deployment fleet, Instance cold, Recorder record) {
        long since = cold.coldSince;
        List<Instance.Run> runs = since == 0
                ? List.of()
                : cold.runs.stream()
                        .filter(run -> run.at() >= since && run.at() < since + COLD_MS)
                        .toList();
        long most = runs.stream()
                .mapToLong(first -> runs.stream()
                        .filter(run -> run.at() >= first.at() && run.at() < first.at() + 1_000)
                        .count())
                .max()
                .orElse(0);
        long lost = runs.stream()
                .filter(run -> fleet.requester.results.stream()
                        .anyMatch(each -> each.attempt().equals(run.attempt()) && each.status() != 200))
                .count();
        record.write("most requests in a second while cold: %d, allowed: %.1f; %d of %d requests that it ran were lost",
                most, MOST_PER_S, lost, runs.size());
        record.write(most <= MOST_PER_S ? "FAILBACK held" : "FAILBACK broken");
        return most <= MOST_PER_S;
    }
}
