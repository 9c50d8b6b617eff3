package org.verbenamast.it.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.verbenamast.it.deploy.Deployment;
import org.verbenamast.it.deploy.Plans;
import org.verbenamast.it.deploy.Wiring;

/** Measures what control costs at several sizes, with the slope and the projection to full size. */
public final class ControlBench {

    private static final long START_MILLIS = 120_000;
    private static final int[] SIZES = {4, 8, 16, 32};
    private static final int SETTLE_SECONDS = 10;
    private static final int SECONDS = 15;
    private static final Map<String, ToDoubleFunction<ControlSample>> MEASURES = Map.of(
            "bytes sent per second and node", ControlSample::sentBytesPerSecond,
            "processor percent per node", ControlSample::cpuPercent,
            "resident MiB per node", ControlSample::residentMib,
            "store reads per second in all", ControlSample::storeReadsPerSecond,
            "store writes per second in all", ControlSample::storeWritesPerSecond);

    private ControlBench() {}

    /**
     * What the measurement found.
     *
     * @param samples one for each size
     * @param lines the slopes
     */
    record Report(List<ControlSample> samples, List<Line> lines) {}

    /**
     * Runs the measurement.
     *
     * @param args the project's folder
     * @throws IOException where a deployment does not come up
     */
    public static void main(String[] args) throws IOException {
        Path root = Path.of(args[0]);
        List<ControlSample> samples = new ArrayList<>();
        for (int size : SIZES) {
            samples.add(sample(root, size));
            samples.get(samples.size() - 1).print();
        }
        List<Line> lines = new ArrayList<>();
        List<SvgPlot> plots = new ArrayList<>();
        MEASURES.keySet().stream().sorted().forEach(name -> {
            lines.add(Line.fit(name, samples, MEASURES.get(name)));
            plots.add(new SvgPlot(name + ", by nodes", points(samples, MEASURES.get(name))));
        });
        lines.forEach(Line::print);
        Bench.write(root, "control", new Report(samples, lines));
        Path plot = Files.writeString(Bench.folder(root).resolve("control.svg"), SvgPlot.page(plots));
        System.out.println("plot: " + plot);
        System.exit(0);
    }

    private static ControlSample sample(Path root, int size) throws IOException {
        try (Deployment deployment = Deployment.start(Plans.small("bench-control", size, 0), Wiring.DIRECT, root)) {
            deployment.awaitServing(START_MILLIS);
            NodeCost.pause(SETTLE_SECONDS);
            return ControlSample.take(deployment, SECONDS);
        }
    }

    private static List<SvgPlot.Point> points(List<ControlSample> samples, ToDoubleFunction<ControlSample> value) {
        return samples.stream()
                .map(sample -> new SvgPlot.Point(sample.nodes(), value.applyAsDouble(sample)))
                .toList();
    }
}
