package org.verbenamast.it.bench;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.DeploymentPlan.HostPlan;
import org.verbenamast.it.deploy.Http;

/**
 * What control costs a deployment that serves no request.
 *
 * @param nodes the number of nodes
 * @param sentBytesPerSecond bytes that a node sends to other nodes, mean over the nodes
 * @param maxSentBytesPerSecond the same for the node that sends most
 * @param cpuPercent processor time of a node, mean, in percent of a core
 * @param residentMib resident memory of a node, mean, in MiB
 * @param storeReadsPerSecond reads of the platform's store by all nodes
 * @param storeWritesPerSecond writes to the platform's store by all nodes
 */
public record ControlSample(
        int nodes,
        double sentBytesPerSecond,
        double maxSentBytesPerSecond,
        double cpuPercent,
        double residentMib,
        double storeReadsPerSecond,
        double storeWritesPerSecond) {

    private static final String SENT = "verbenamast_peer_bytes_total{direction=\"sent\"} ";

    private record Counters(double[] sent, long reads, long writes) {}

    static ControlSample take(Deployment deployment, int seconds) throws IOException {
        Counters before = counters(deployment);
        NodeCost cost = NodeCost.watch(deployment, seconds);
        Counters after = counters(deployment);
        double total = 0;
        double max = 0;
        for (int i = 0; i < cost.nodes(); i++) {
            double sent = (after.sent()[i] - before.sent()[i]) / seconds;
            total += sent;
            max = Math.max(max, sent);
        }
        return new ControlSample(
                cost.nodes(),
                total / cost.nodes(),
                max,
                cost.meanCpuPercent(),
                cost.meanResidentMib(),
                (after.reads() - before.reads()) / (double) seconds,
                (after.writes() - before.writes()) / (double) seconds);
    }

    private static Counters counters(Deployment deployment) throws IOException {
        double[] sent = new double[deployment.plan().hosts().size()];
        for (HostPlan host : deployment.plan().hosts()) {
            sent[host.index()] = sent(host);
        }
        JsonNode counts = Http.json(deployment.plan().platform(), "/admin/counts");
        return new Counters(
                sent, counts.get("reads").asLong(), counts.get("writes").asLong());
    }

    private static double sent(HostPlan host) throws IOException {
        String metrics = new String(
                Http.send(Http.to(host.operators(), "/metrics")).body(), java.nio.charset.StandardCharsets.UTF_8);
        return metrics.lines()
                .filter(line -> line.startsWith(SENT))
                .mapToDouble(line -> Double.parseDouble(line.substring(SENT.length())))
                .sum();
    }

    void print() {
        System.out.printf(
                "%2d nodes: sent %.0f B/s a node (most %.0f); processor %.2f %%; memory %.1f MiB;"
                        + " store %.2f reads/s, %.2f writes/s%n",
                nodes,
                sentBytesPerSecond,
                maxSentBytesPerSecond,
                cpuPercent,
                residentMib,
                storeReadsPerSecond,
                storeWritesPerSecond);
    }
}
