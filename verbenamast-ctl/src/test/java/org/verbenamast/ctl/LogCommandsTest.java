package org.verbenamast.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class LogCommandsTest {

    private static final String GATE = "{\"@timestamp\":\"2026-12-04T09:00:01.2Z\",\"message\":\"gate refused\","
            + "\"hop\":\"gate\",\"outcome\":\"refused\",\"reason\":\"FULL\",\"request\":\"a-1\",\"queued\":9}\n";
    private static final String ENTRY = "{\"@timestamp\":\"2026-12-04T09:00:01.3Z\",\"message\":\"entry refused\","
            + "\"hop\":\"entry\",\"outcome\":\"refused\",\"reason\":\"FULL\",\"request\":\"a-1\","
            + "\"service\":\"stock\"}\n";

    @TempDir
    Path folder;

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static String why(String... words) {
        return run("why", words);
    }

    private static String timeline(String... words) {
        return run("timeline", words);
    }

    private static String run(String command, String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CtlMain program = new CtlMain(out, out, () -> null, () -> "", () -> "");
        List<String> line = new ArrayList<>(List.of(command));
        line.addAll(List.of(words));
        ExitCode code = program.run(line.toArray(String[]::new));
        return bytes.toString(StandardCharsets.UTF_8) + "exit " + code.code() + "\n";
    }

    @Test
    void should_print_the_hops_in_order_of_time_when_two_nodes_logged_a_request() throws IOException {
        String first = file("entry.log", ENTRY);
        String second = file("gate.log", GATE + GATE.replace("a-1", "a-2"));

        assertThat(why("a-1", first, second)).isEqualTo("""
                        TIME                    HOP    OUTCOME  REASON  INPUTS
                        2026-12-04T09:00:01.2Z  gate   refused  FULL    queued=9
                        2026-12-04T09:00:01.3Z  entry  refused  FULL    service=stock
                        exit 0
                        """);
    }

    @Test
    void should_say_what_is_missing_when_the_entry_wrote_nothing_and_a_line_is_cut_off() throws IOException {
        String log = file("gate.log", "node-3 | " + GATE + "{\"hop\":\"ent\n");

        assertThat(why("a-1", log))
                .contains("queued=9")
                .contains("no line of the node that took the request")
                .contains("1 lines were unreadable")
                .endsWith("exit 0\n");
    }

    @Test
    void should_print_json_when_it_is_asked_for() throws IOException {
        assertThat(why("a-1", file("gate.log", GATE), "--json"))
                .contains("\"reason\":\"FULL\"")
                .contains("\"queued\":\"9\"")
                .endsWith("exit 0\n");
    }

    @Test
    void should_refuse_when_no_line_is_about_the_request() throws IOException {
        assertThat(why("b-1", file("gate.log", GATE)))
                .contains("a line about request <b-1>")
                .endsWith("exit 1\n");
    }

    @Test
    void should_refuse_when_a_file_can_not_be_read() {
        assertThat(why("a-1", folder.resolve("none.log").toString()))
                .contains("none.log should be readable")
                .endsWith("exit 2\n");
    }

    private static String grant(int second, String what, String server, String keys, int epoch) {
        String line = "{\"@timestamp\":\"2026-12-04T09:00:0%dZ\",\"message\":\"keys %s\","
                + "\"server\":\"%s\",\"keys\":\"%s\",\"epoch\":%d}\n";
        return line.formatted(second, what, server, keys, epoch);
    }

    @Test
    void should_print_the_owners_of_a_key_in_order_of_time_when_it_moved() throws IOException {
        String first = file(
                "one.log",
                grant(1, "granted", "i-1@5", "0-511", 3)
                        + grant(4, "withdrawn", "i-1@5", "0-511", 3)
                        + grant(1, "granted", "i-1@5", "512-700", 4));
        String second = file("two.log", grant(6, "granted", "i-2@5", "0-511", 9) + GATE);

        assertThat(timeline("8", first, second)).isEqualTo("""
                        TIME                  WHAT            INPUTS
                        2026-12-04T09:00:01Z  keys granted    server=i-1@5 keys=0-511 epoch=3
                        2026-12-04T09:00:04Z  keys withdrawn  server=i-1@5 keys=0-511 epoch=3
                        2026-12-04T09:00:06Z  keys granted    server=i-2@5 keys=0-511 epoch=9
                        exit 0
                        """);
    }

    @Test
    void should_print_grants_and_leases_of_a_server_when_it_is_asked_for_by_its_id() throws IOException {
        String lease =
                "{\"@timestamp\":\"2026-12-04T09:00:02Z\",\"message\":\"lease-watch i-1@5: WATCHING -> LAPSED on DUE\","
                        + "\"chart\":\"lease-watch\",\"subject\":\"i-1@5\"}\n";
        String log = file(
                "one.log", lease + grant(1, "granted", "i-1@5", "0-511", 3) + grant(1, "granted", "i-12@5", "5-6", 4));

        assertThat(timeline("i-1", log))
                .containsSubsequence("keys granted", "keys=0-511", "LAPSED", "chart=lease-watch")
                .doesNotContain("i-12");
    }

    @Test
    void should_refuse_when_no_line_is_about_the_key_or_no_file_is_named() throws IOException {
        assertThat(timeline("9000", file("one.log", grant(1, "granted", "i-1@5", "0-511", 3) + "{\"keys\":\"x-y\"}\n")))
                .contains("a line about key or server <9000>")
                .endsWith("exit 1\n");
        assertThat(timeline("9000")).contains("a key or a server and a file are needed");
    }
}
