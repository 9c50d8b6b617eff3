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
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CtlMain program = new CtlMain(out, out, () -> null, () -> "", () -> "");
        List<String> line = new ArrayList<>(List.of("why"));
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
}
