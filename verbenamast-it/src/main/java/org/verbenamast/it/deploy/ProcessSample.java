package org.verbenamast.it.deploy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the operating system says about a process at one moment.
 *
 * @param residentKib resident memory, in KiB
 * @param cpuMillis processor time used so far, in milliseconds
 * @param threads the names of its threads, cut to 15 characters by the kernel
 */
public record ProcessSample(long residentKib, long cpuMillis, List<String> threads) {

    private static final String RESIDENT = "VmRSS:";
    private static final long MILLIS_PER_TICK = 10;
    private static final int USER_TICKS = 11;
    private static final int SYSTEM_TICKS = 12;

    /** Copies the list. */
    public ProcessSample {
        threads = List.copyOf(threads);
    }

    /**
     * Samples a running process.
     *
     * @param process the process
     * @return the sample
     * @throws IOException where the process has ended
     */
    public static ProcessSample of(Process process) throws IOException {
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        return new ProcessSample(residentKib(folder), cpuMillis(folder), threads(folder));
    }

    private static long residentKib(Path folder) throws IOException {
        for (String line : Files.readAllLines(folder.resolve("status"))) {
            if (line.startsWith(RESIDENT)) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("the process has no resident memory: " + folder);
    }

    private static long cpuMillis(Path folder) throws IOException {
        String stat = Files.readString(folder.resolve("stat"));
        String[] afterName = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return MILLIS_PER_TICK * (Long.parseLong(afterName[USER_TICKS]) + Long.parseLong(afterName[SYSTEM_TICKS]));
    }

    private static List<String> threads(Path folder) throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> tasks = Files.list(folder.resolve("task"))) {
            for (Path task : tasks.toList()) {
                names.add(Files.readString(task.resolve("comm")).strip());
            }
        }
        return names;
    }
}
