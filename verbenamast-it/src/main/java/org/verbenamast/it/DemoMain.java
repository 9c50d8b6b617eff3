package org.verbenamast.it;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.verbenamast.core.model.Address;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.Http;
import org.verbenamast.it.deploy.Wiring;
import org.verbenamast.load.LoadFigures;
import org.verbenamast.load.LoadPlan;
import org.verbenamast.load.LoadReport;
import org.verbenamast.load.LoadRunner;
import org.verbenamast.load.TargetKind;

/** Runs a deployment whole on one machine, sends it a short load and prints a summary. */
public final class DemoMain {

    private static final long START_MILLIS = 60_000;
    private static final int RATE = 500;
    private static final int SECONDS = 5;
    private static final int KEYS = 10_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private static final double MICROS_PER_MILLI = 1_000.0;

    private DemoMain() {}

    /**
     * Runs the deployment.
     *
     * @param args the project's folder and the deployment's file
     * @throws IOException where the deployment does not come up
     */
    public static void main(String[] args) throws IOException {
        DeploymentPlan plan = DeploymentPlan.read(Path.of(args[1]));
        long started = System.nanoTime();
        System.out.printf(
                "starting %s: %d hosts in zones %s%n", plan.name(), plan.hosts().size(), plan.zones());
        try (Deployment deployment = Deployment.start(plan, Wiring.DIRECT, Path.of(args[0]))) {
            String first = plan.hosts().get(0).callers();
            String path = "/" + plan.services().get(0).name() + "/items/1";
            Deployment.await("a request is served", START_MILLIS, () -> isAnswered(first, path));
            System.out.printf("first request served after %d ms%n", millisSince(started));
            deployment.awaitServing(START_MILLIS);
            System.out.printf("all nodes serve their share after %d ms%n", millisSince(started));
            printOwners(plan);
            printLoad(plan);
        }
        System.out.println("all processes ended");
        System.exit(0);
    }

    private static boolean isAnswered(String address, String path) throws IOException {
        var answer = Http.send(Http.to(address, path).header("Verbenamast-Key", "key-1"));
        return "answered"
                .equals(answer.headers().firstValue("Verbenamast-Outcome").orElse(""));
    }

    private static long millisSince(long started) {
        return (System.nanoTime() - started) / NANOS_PER_MILLI;
    }

    private static void printOwners(DeploymentPlan plan) throws IOException {
        System.out.println("slices owned:");
        for (DeploymentPlan.HostPlan host : plan.hosts()) {
            if (host.service().keyed()) {
                int owned = Http.json(host.operators(), "/v1/status")
                        .get("slicesOwned")
                        .asInt();
                System.out.printf("  %-20s %-8s %d%n", host.name(), host.zone(), owned);
            }
        }
    }

    private static void printLoad(DeploymentPlan plan) {
        List<Address> targets =
                plan.hosts().stream().map(host -> Address.parse(host.callers())).toList();
        List<String> paths = plan.services().stream()
                .map(service -> "/" + service.name() + "/items/%d")
                .toList();
        LoadPlan load = new LoadPlan(targets, TargetKind.NODE, paths, RATE, SECONDS, KEYS, 1);
        print("load on cold processes", LoadRunner.run(load));
        print("load after warm-up", LoadRunner.run(load));
    }

    private static void print(String title, LoadReport report) {
        LoadFigures all = report.all();
        System.out.printf(
                "%s: %d sent, %d answered, %d not run, %d unknown, %d failed%n",
                title, all.sent(), all.answered(), all.notRun(), all.unknown(), all.failed());
        report.services().forEach(DemoMain::printLatency);
        printLatency(all);
    }

    private static void printLatency(LoadFigures figures) {
        System.out.printf(
                "  %-10s p50 %.1f ms, p99 %.1f ms%n",
                figures.name(), figures.p50Micros() / MICROS_PER_MILLI, figures.p99Micros() / MICROS_PER_MILLI);
    }
}
