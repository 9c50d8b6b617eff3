package org.verbenamast.ctl;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ManifestCommandsTest {

    private static final String SOUND = """
            {"version": 7,
             "routes": [{"name": "stock", "host": "shop", "prefix": "/stock/", "kind": "safe", "timeoutMs": 900,
                         "targetLatencyMs": 300, "service": "stock"}],
             "services": [{"name": "stock", "maxConns": 100}],
             "tenants": [{"name": "north", "apiKeys": ["k1"], "ratePerS": 10, "burst": 10}]}
            """;

    private static final String FAULTY = """
            {"version": 7,
             "routes": [
              {"name": "stock", "host": "shop", "prefix": "/stock/", "kind": "safe", "timeoutMs": 200,
               "targetLatencyMs": 300, "service": "stock"},
              {"name": "twin", "host": "shop", "prefix": "/stock/", "kind": "odd", "service": "gone"},
              {"name": "ports", "host": "shop:80", "prefix": "/a", "kind": "safe",
               "split": [{"service": "stock", "weight": 0}]}],
             "services": [{"name": "stock", "maxConns": 100}, {"name": "idle"}],
             "tenants": [{"name": "north", "apiKeys": ["k1", "k2"], "burst": 10},
                         {"name": "south", "apiKeys": ["k1"], "ratePerS": 1, "burst": 100}]}
            """;

    @TempDir
    Path folder;

    private String file(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text).toString();
    }

    private static String check(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        CtlMain program = new CtlMain(out, out, () -> null, () -> "", () -> "");
        String[] line = new String[words.length + 2];
        line[0] = "manifest";
        line[1] = "check";
        System.arraycopy(words, 0, line, 2, words.length);
        ExitCode code = program.run(line);
        return bytes.toString(StandardCharsets.UTF_8) + "exit " + code.code() + "\n";
    }

    @Test
    void should_find_nothing_when_a_manifest_is_sound() throws IOException {
        assertThat(check(file("next.json", SOUND))).isEqualTo("WHAT  WHERE  TEXT\nexit 0\n");
    }

    @Test
    void should_name_each_fault_and_its_place_when_a_manifest_has_some() throws IOException {
        assertThat(check(file("next.json", FAULTY)))
                .contains("kind should be a known word but is odd")
                .containsPattern("ERROR +route stock +never matches: route twin has the same host and prefix")
                .containsPattern("ERROR +route stock +its latency objective of 300 ms is beyond its time-out of 200 ms")
                .containsPattern("ERROR +route twin +names the service gone, which is not listed")
                .containsPattern("ERROR +route ports +never matches: its prefix /a should begin and end with a slash")
                .containsPattern("ERROR +route ports +never matches: its host shop:80 has a port")
                .containsPattern("ERROR +route ports +all weights of its split are 0")
                .containsPattern("WARNING +service idle +no route sends requests to it")
                .containsPattern("WARNING +tenant north +has a burst but no rate")
                .containsPattern("ERROR +tenant south +has a key that tenant north has too")
                .containsPattern("WARNING +tenant south +a burst of 100.0 is more than its rate")
                .endsWith("exit 1\n");
    }

    @Test
    void should_tell_what_differs_when_the_version_in_force_is_given() throws IOException {
        String next = SOUND.replace("\"version\": 7", "\"version\": 8")
                .replace("900", "800")
                .replace("[\"k1\"]", "[\"k2\", \"k3\"]")
                .replace("\"burst\": 10", "\"burst\": 20");

        assertThat(check(file("next.json", next), "--against", file("force.json", SOUND)))
                .containsPattern("CHANGE +route stock +time-out in ms: 900 becomes 800")
                .containsPattern("CHANGE +tenant north +burst: 10.0 becomes 20.0")
                .containsPattern("CHANGE +tenant north +keys: 2 added, 1 withdrawn")
                .doesNotContain("k2")
                .endsWith("exit 0\n");
    }

    @Test
    void should_print_json_and_refuse_when_the_version_is_not_higher() throws IOException {
        String known = file("force.json", SOUND);

        assertThat(check(known, "--against", known, "--json"))
                .contains("\"place\":\"version\"")
                .endsWith("exit 1\n");
    }

    @Test
    void should_exit_with_bad_input_when_a_file_is_no_manifest() throws IOException {
        assertThat(check(file("next.json", "{"))).endsWith("exit 2\n");
    }
}
