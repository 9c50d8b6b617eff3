package org.verbenamast.it.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.verbenamast.load.LoadFigures;

/** What the measurements share: where reports go and how figures are printed. */
final class Bench {

    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private Bench() {}

    static void write(Path root, String name, Object report) throws IOException {
        Path file = folder(root).resolve(name + ".json");
        MAPPER.writeValue(file.toFile(), report);
        System.out.println("report: " + file);
    }

    static Path folder(Path root) throws IOException {
        return Files.createDirectories(
                root.resolve("verbenamast-it").resolve("target").resolve("bench"));
    }

    static void print(String title, LoadFigures figures) {
        System.out.printf(
                "%-10s sent %d, answered %d, p50 %d us, p99 %d us, p99.9 %d us, max %d us%n",
                title,
                figures.sent(),
                figures.answered(),
                figures.p50Micros(),
                figures.p99Micros(),
                figures.p999Micros(),
                figures.maxMicros());
    }
}
