package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a case writes what was sent, answered and run. */
final class Record {

    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void add(String who, String text) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        out.println(String.format(java.util.Locale.ROOT, "%8.3f %-14s %s", seconds, who, text));
        out.flush();
    }
}
