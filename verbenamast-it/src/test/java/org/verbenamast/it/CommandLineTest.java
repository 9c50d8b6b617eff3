package org.verbenamast.it;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTest {

    private static final int FAILED = 1;
    private static final int BAD_INPUT = 2;

    @TempDir
    private Path folder;

    private record Ended(int code, String output) {}

    @Test
    void should_list_the_options_when_help_is_asked_for() throws Exception {
        Ended ended = run("--help");
        assertThat(ended.code()).isZero();
        assertThat(ended.output()).contains("--settings", "--check-settings", "--help", "--version");
    }

    @Test
    void should_print_the_version_when_it_is_asked_for() throws Exception {
        Ended ended = run("--version");
        assertThat(ended.code()).isZero();
        assertThat(ended.output()).matches("verbenamast-node \\d+\\.\\d+\\.\\d+\\R");
    }

    @Test
    void should_exit_with_2_when_an_option_is_unknown() throws Exception {
        assertThat(run("--nothing").code()).isEqualTo(BAD_INPUT);
    }

    @Test
    void should_list_every_fault_when_the_settings_have_several() throws Exception {
        Path file = Files.writeString(folder.resolve("faults.json"), """
                {"node": "stock-1", "zone": 7, "callers": "nowhere", "oprators": "127.0.0.1:1", "traceRatio": 2}
                """);
        for (String option : List.of("--check-settings", "--settings")) {
            Ended ended = run(option, file.toString());
            assertThat(ended.code()).isEqualTo(BAD_INPUT);
            assertThat(ended.output()).contains("zone", "service", "callers", "oprators", "operators", "traceRatio");
        }
    }

    @Test
    void should_exit_with_2_when_the_settings_are_no_json() throws Exception {
        Path file = Files.writeString(folder.resolve("broken.json"), "{\"node\": ");
        assertThat(run("--settings", file.toString()).code()).isEqualTo(BAD_INPUT);
    }

    @Test
    void should_exit_with_2_when_the_settings_file_is_missing() throws Exception {
        assertThat(run("--settings", folder.resolve("missing.json").toString()).code())
                .isEqualTo(BAD_INPUT);
    }

    @Test
    void should_log_the_cause_and_exit_with_1_when_an_address_is_taken() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String settings = Files.readString(Deployed.ROOT.resolve(Path.of("examples", "node.json")));
            String callers = "\"callers\": \"127.0.0.1:" + taken.getLocalPort() + "\"";
            Path file = folder.resolve("taken.json");
            Files.writeString(file, settings.replace("\"callers\": \"127.0.0.1:21100\"", callers));
            Ended ended = run("--settings", file.toString());
            assertThat(ended.code()).isEqualTo(FAILED);
            assertThat(ended.output()).contains("node failed", "Address already in use");
        }
    }

    private static Ended run(String... args) throws IOException, InterruptedException {
        Path jar = Deployed.ROOT.resolve(Path.of("verbenamast-node", "target", "verbenamast-node.jar"));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-jar", jar.toString()));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ended(process.waitFor(), output);
    }
}
