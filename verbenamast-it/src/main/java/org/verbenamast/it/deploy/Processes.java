package org.verbenamast.it.deploy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What tests and tools do with the processes that they started, and with the folders that these write to. */
public final class Processes {

    private Processes() {}

    /**
     * Waits until a process has ended.
     *
     * @param process the process
     * @param seconds how long to wait, in seconds
     * @throws IOException where it has not ended by then
     */
    static void awaitEnd(Process process, long seconds) throws IOException {
        try {
            if (!process.waitFor(seconds, TimeUnit.SECONDS)) {
                throw new IOException(
                        "process should have ended within %d s but is %s".formatted(seconds, state(process)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while process " + process.pid() + " ends", e);
        }
    }

    /** Describes a process as the system sees it: its command line and its state. */
    private static String state(Process process) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        String state = Files.exists(status)
                ? Files.readAllLines(status).stream()
                        .filter(line -> line.startsWith("State:"))
                        .findFirst()
                        .orElse("without a state")
                : "gone";
        return process.pid() + ", " + process.info().commandLine().orElse("without a command line") + ", " + state;
    }

    /**
     * Freezes a process.
     *
     * @param process the process
     * @return the program that sends the signal
     * @throws IOException where the signal can't be sent
     */
    public static Process freeze(Process process) throws IOException {
        return signal("-STOP", process);
    }

    /**
     * Lets a frozen process go on.
     *
     * @param process the process
     * @return the program that sends the signal
     * @throws IOException where the signal can't be sent
     */
    public static Process wake(Process process) throws IOException {
        return signal("-CONT", process);
    }

    private static Process signal(String signal, Process process) throws IOException {
        return new ProcessBuilder("kill", signal, Long.toString(process.pid())).start();
    }

    /**
     * Makes a folder, or deletes the files in it.
     *
     * @param folder the folder
     * @return the folder, which is empty
     * @throws IOException where it can't be made or a file can't be deleted
     */
    public static Path emptyFolder(Path folder) throws IOException {
        Files.createDirectories(folder);
        try (Stream<Path> before = Files.list(folder)) {
            for (Path file : before.toList()) {
                Files.delete(file);
            }
        }
        return folder;
    }
}
