package org.verbenamast.it.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Faults;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;

/** Measures the time from the kill of a node to the next answer for keys that its backend server owned. */
public final class RecoveryBench {

    private static final long START_MILLIS = 60_000;
    private static final long GIVE_UP_MILLIS = 20_000;
    private static final long POLL_MILLIS = 10;
    private static final int KEYED = 6;
    private static final int KILLS = 20;
    private static final int PROBED_KEYS = 8;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private RecoveryBench() {}

    /**
     * What the measurement found.
     *
     * @param kills the number of nodes killed
     * @param minMillis the shortest time until all probed keys were answered, in milliseconds
     * @param medianMillis the median, in milliseconds
     * @param maxMillis the longest time, in milliseconds
     * @param eachMillis the time after each kill, in milliseconds
     */
    record Report(int kills, long minMillis, long medianMillis, long maxMillis, List<Long> eachMillis) {}

    /**
     * Runs the measurement.
     *
     * @param args the project's folder
     * @throws IOException where a key is not served again
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        try (Deployment deployment = Deployment.start(Plans.small("bench-recovery", KEYED, 0), Wiring.DIRECT, root)) {
            deployment.awaitServing(START_MILLIS);
            List<Long> times = new ArrayList<>();
            for (int i = 0; i < KILLS; i++) {
                times.add(kill(deployment, i));
                System.out.printf("kill %d: served again after %d ms%n", i + 1, times.get(i));
            }
            report(root, times);
        }
        System.exit(0);
    }

    private static void report(Path root, List<Long> times) throws IOException {
        List<Long> sorted = times.stream().sorted().toList();
        Report report = new Report(
                times.size(), sorted.get(0), sorted.get(sorted.size() / 2), sorted.get(sorted.size() - 1), times);
        System.out.printf(
                "%d kills: min %d ms, median %d ms, max %d ms%n",
                report.kills(), report.minMillis(), report.medianMillis(), report.maxMillis());
        Bench.write(root, "recovery", report);
    }

    private static long kill(Deployment deployment, int round) throws IOException {
        List<HostPlan> hosts = deployment.plan().hosts();
        HostPlan victim = hosts.get(round % hosts.size());
        HostPlan witness = hosts.get((round + 1) % hosts.size());
        List<String> keys = keysOf(victim, witness);
        new Faults(deployment).kill(deployment.node(victim));
        long killed = System.nanoTime();
        for (String key : keys) {
            awaitAnswer(witness, key, killed);
        }
        long millis = (System.nanoTime() - killed) / NANOS_PER_MILLI;
        deployment.startNode(victim);
        deployment.awaitServing(START_MILLIS);
        return millis;
    }

    private static List<String> keysOf(HostPlan victim, HostPlan witness) throws IOException {
        List<String> keys = new ArrayList<>();
        for (int i = 0; keys.size() < PROBED_KEYS; i++) {
            String key = "key-" + i;
            var answer = Http.send(ask(witness, key));
            if (answer.headers().firstValue("Served-By").orElse("").equals(victim.server())) {
                keys.add(key);
            }
        }
        return keys;
    }

    private static java.net.http.HttpRequest.Builder ask(HostPlan through, String key) {
        return Http.to(through.callers(), "/" + Plans.KEYED + "/items/" + key)
                .header("Verbenamast-Key", key)
                .header("Verbenamast-Deadline-Millis", "500");
    }

    private static void awaitAnswer(HostPlan through, String key, long since) throws IOException {
        while (Http.send(ask(through, key)).statusCode() != 200) {
            if (System.nanoTime() - since > GIVE_UP_MILLIS * NANOS_PER_MILLI) {
                throw new IOException(key + " is not served again");
            }
            pause();
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
