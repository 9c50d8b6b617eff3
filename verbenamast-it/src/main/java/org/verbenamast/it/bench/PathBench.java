package org.verbenamast.it.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;

import org.verbenamast.core.model.Address;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.load.LoadFigures;
import org.verbenamast.load.LoadPlan;
import org.verbenamast.load.LoadRunner;
import org.verbenamast.load.TargetKind;

/** Measures what two nodes on the path add to a direct call, at the same open-loop rate in one run. */
public final class PathBench {

    private static final long START_MILLIS = 60_000;
    private static final int KEYED = 4;
    private static final int FREE = 2;
    private static final int RATE = 300;
    private static final int WARM_UP_SECONDS = 15;
    private static final int SECONDS = 8;
    private static final int ROUNDS = 5;
    private static final int IDLE_SECONDS = 10;
    private static final int KEYS = 1_000;

    private PathBench() {}

    /**
     * What the measurement found.
     *
     * @param rate requests per second
     * @param direct the figures of each round without nodes
     * @param routed the figures of each round over two nodes
     * @param addedP50Micros the median over the rounds of what the path adds at the 50th percentile, in microseconds
     * @param addedP99Micros the same at the 99th percentile, in microseconds
     * @param idle what the nodes cost afterwards
     */
    record Report(
            int rate,
            List<LoadFigures> direct,
            List<LoadFigures> routed,
            long addedP50Micros,
            long addedP99Micros,
            NodeCost idle) {}

    /**
     * Runs the measurement.
     *
     * @param args the project's folder
     * @throws IOException where the deployment does not come up
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        DeploymentPlan plan = Plans.small("bench-path", KEYED, FREE);
        try (Deployment deployment = Deployment.start(plan, Wiring.DIRECT, root)) {
            deployment.awaitServing(START_MILLIS);
            Bench.write(root, "path", measure(deployment));
        }
        System.exit(0);
    }

    private static Report measure(Deployment deployment) throws IOException {
        LoadPlan direct = directly(deployment.plan());
        LoadPlan routed = overTwoNodes(deployment.plan());
        LoadRunner.run(direct.lasting(WARM_UP_SECONDS));
        LoadRunner.run(routed.lasting(WARM_UP_SECONDS));
        List<LoadFigures> directRounds = new ArrayList<>();
        List<LoadFigures> routedRounds = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            directRounds.add(LoadRunner.run(direct).all());
            Bench.print("direct", directRounds.get(i));
            routedRounds.add(LoadRunner.run(routed).all());
            Bench.print("routed", routedRounds.get(i));
        }
        long p50 = medianAdded(directRounds, routedRounds, LoadFigures::p50Micros);
        long p99 = medianAdded(directRounds, routedRounds, LoadFigures::p99Micros);
        System.out.printf("added by two nodes, median of %d rounds: p50 %d us, p99 %d us%n", ROUNDS, p50, p99);
        NodeCost idle = NodeCost.watch(deployment, IDLE_SECONDS);
        idle.print();
        System.out.println("threads of the nodes: " + idle.threads());
        return new Report(RATE, directRounds, routedRounds, p50, p99, idle);
    }

    private static LoadPlan directly(DeploymentPlan plan) {
        List<Address> servers = addresses(plan, Plans.KEYED, HostPlan::server);
        return new LoadPlan(servers, TargetKind.SERVER, List.of("/items/%d"), RATE, SECONDS, KEYS, 1);
    }

    private static LoadPlan overTwoNodes(DeploymentPlan plan) {
        List<Address> nodes = addresses(plan, Plans.FREE, HostPlan::callers);
        List<String> paths = List.of("/" + Plans.KEYED + "/items/%d");
        return new LoadPlan(nodes, TargetKind.NODE, paths, RATE, SECONDS, KEYS, 1);
    }

    private static List<Address> addresses(
            DeploymentPlan plan, String service, java.util.function.Function<HostPlan, String> address) {
        return plan.hosts().stream()
                .filter(host -> host.service().name().equals(service))
                .map(address)
                .map(Address::parse)
                .toList();
    }

    private static long medianAdded(
            List<LoadFigures> direct, List<LoadFigures> routed, ToLongFunction<LoadFigures> figure) {
        List<Long> added = new ArrayList<>();
        for (int i = 0; i < direct.size(); i++) {
            added.add(figure.applyAsLong(routed.get(i)) - figure.applyAsLong(direct.get(i)));
        }
        added.sort(Long::compare);
        return added.get(added.size() / 2);
    }
}
