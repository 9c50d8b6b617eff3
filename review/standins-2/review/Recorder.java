package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time in milliseconds since the start of the case. */
final class Recorder implements AutoCloseable {

    private static final long STARTED = System.nanoTime();

    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Returns the milliseconds since the start of the case. */
    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    synchronized void write(String format, Object... values) {
        out.printf(Locale.ROOT, "%7d  %s%n", now(), String.format(Locale.ROOT, format, values));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
