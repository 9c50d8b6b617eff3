package org.verbenamast.it.bench;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan;
import org.verbenamast.it.deploy.ProcessSample;

/**
 * What the nodes of a deployment cost while they are idle.
 *
 * @param nodes the number of nodes
 * @param seconds how long they were watched, in seconds
 * @param maxResidentMib resident memory of the largest node, in MiB
 * @param meanResidentMib mean resident memory of a node, in MiB
 * @param maxCpuPercent processor time of the busiest node, in percent of a core
 * @param meanCpuPercent mean processor time of a node, in percent of a core
 * @param threads the names of all threads of the nodes, each once
 */
public record NodeCost(
        int nodes,
        int seconds,
        double maxResidentMib,
        double meanResidentMib,
        double maxCpuPercent,
        double meanCpuPercent,
        Set<String> threads) {

    private static final double KIB_PER_MIB = 1_024;
    private static final double MILLIS_PER_PERCENT_SECOND = 10;

    static NodeCost watch(Deployment deployment, int seconds) throws IOException {
        List<ProcessSample> before = samples(deployment);
        pause(seconds);
        List<ProcessSample> after = samples(deployment);
        List<Double> cpu = new ArrayList<>();
        Set<String> threads = new TreeSet<>();
        for (int i = 0; i < after.size(); i++) {
            long used = after.get(i).cpuMillis() - before.get(i).cpuMillis();
            cpu.add(used / (seconds * MILLIS_PER_PERCENT_SECOND));
            threads.addAll(after.get(i).threads());
        }
        List<Double> resident =
                after.stream().map(sample -> sample.residentKib() / KIB_PER_MIB).toList();
        return new NodeCost(after.size(), seconds, max(resident), mean(resident), max(cpu), mean(cpu), threads);
    }

    private static List<ProcessSample> samples(Deployment deployment) throws IOException {
        List<ProcessSample> samples = new ArrayList<>();
        for (DeploymentPlan.HostPlan host : deployment.plan().hosts()) {
            samples.add(ProcessSample.of(deployment.node(host)));
        }
        return samples;
    }

    private static double max(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    static void pause(int seconds) throws IOException {
        try {
            TimeUnit.SECONDS.sleep(seconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    void print() {
        System.out.printf(
                "%d nodes, idle for %d s: memory max %.1f MiB, mean %.1f MiB; processor max %.2f %%, mean %.2f %%%n",
                nodes, seconds, maxResidentMib, meanResidentMib, maxCpuPercent, meanCpuPercent);
    }
}
