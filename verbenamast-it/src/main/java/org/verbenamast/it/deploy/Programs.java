package org.verbenamast.it.deploy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts the programs of the project as processes. */
final class Programs {

    static final List<String> NODE_FLAGS = List.of(
            "-Xmx40m",
            "-Xms16m",
            "-Xss256k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:MaxMetaspaceSize=64m",
            "-Xshare:auto",
            "-Dio.netty.noPreferDirect=true");
    private static final List<String> STANDIN_FLAGS =
            List.of("-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

    private final Path root;
    private final Path logs;
    private final List<String> relayCommand;

    /**
     * Makes a starter.
     *
     * @param root the folder of the project, with its modules built
     * @param logs the folder for the processes' output
     */
    Programs(Path root, Path logs) {
        this(root, logs, List.of());
    }

    /** Makes a starter of relays with a command of their own, run in {@code root}; with the usual one where empty. */
    Programs(Path root, Path logs, List<String> relayCommand) {
        this.root = root;
        this.logs = logs;
        this.relayCommand = List.copyOf(relayCommand);
    }

    Process node(String name, Path settings) throws IOException {
        return start(name, "node", NODE_FLAGS, List.of("--settings", settings.toString()));
    }

    Process relay(String name, Path settings, List<String> flags) throws IOException {
        List<String> args = List.of("--settings", settings.toAbsolutePath().toString());
        if (relayCommand.isEmpty()) {
            return start(name, "relay", flags, args);
        }
        List<String> command = new ArrayList<>(relayCommand);
        command.addAll(args);
        return start(name, command, root);
    }

    Process standin(String name, List<String> args) throws IOException {
        return start(name, "standins", STANDIN_FLAGS, args);
    }

    private Process start(String name, String module, List<String> flags, List<String> args) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(flags);
        command.add("-jar");
        command.add(root.resolve("verbenamast-" + module)
                .resolve("target")
                .resolve("verbenamast-" + module + ".jar")
                .toString());
        command.addAll(args);
        return start(name, command, Path.of(""));
    }

    private Process start(String name, List<String> command, Path folder) throws IOException {
        return new ProcessBuilder(command)
                .directory(folder.toAbsolutePath().toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        logs.resolve(name + ".log").toFile()))
                .start();
    }
}
