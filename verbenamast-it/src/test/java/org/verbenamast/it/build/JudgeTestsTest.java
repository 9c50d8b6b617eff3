package org.verbenamast.it.build;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays test reports of this repository's modules to the script that decides whether a build has passed. */
class JudgeTestsTest {

    private static final Path REPOSITORY = Path.of("..").toAbsolutePath().normalize();
    private static final String CLASS = "org.example.SomeTest";

    @TempDir
    private Path tree;

    static List<String> modulesWithTests() throws IOException {
        try (var folders = Files.list(REPOSITORY)) {
            return folders.filter(folder -> Files.isDirectory(folder.resolve("src/test/java")))
                    .map(folder -> folder.getFileName().toString())
                    .sorted()
                    .toList();
        }
    }

    private record Verdict(int exitCode, String output) {}

    private Verdict judge() throws IOException, InterruptedException {
        Process process = new ProcessBuilder(
                        REPOSITORY.resolve("bin/judge-tests").toString(), tree.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Verdict(process.waitFor(), output);
    }

    private void writeSource(String module) throws IOException {
        write(module + "/src/test/java/org/example/SomeTest.java", "class SomeTest {}");
    }

    private void writeReport(String module, String outcome) throws IOException {
        write(
                module + "/target/surefire-reports/TEST-" + CLASS + ".xml",
                "<testsuite name=\"" + CLASS + "\">\n  <testcase name=\"should_hold\" classname=\"" + CLASS + "\">\n"
                        + outcome + "  </testcase>\n</testsuite>\n");
    }

    private void write(String file, String text) throws IOException {
        Path path = tree.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text);
    }

    @ParameterizedTest
    @MethodSource("modulesWithTests")
    void should_fail_when_a_test_of_any_module_fails(String module) throws Exception {
        // given
        writeSource(module);
        writeReport(module, "    <failure message=\"broken\"/>\n");

        // when
        Verdict verdict = judge();

        // then
        assertThat(verdict.exitCode()).isNotZero();
        assertThat(verdict.output()).contains("FAILED: org.example.SomeTest.should_hold");
    }

    @ParameterizedTest
    @MethodSource("modulesWithTests")
    void should_fail_when_a_test_class_of_any_module_has_no_report(String module) throws Exception {
        // given
        writeSource(module);

        // when
        Verdict verdict = judge();

        // then
        assertThat(verdict.exitCode()).isNotZero();
        assertThat(verdict.output()).contains("NO REPORT: org.example.SomeTest");
    }

    @Test
    void should_pass_when_all_tests_pass() throws Exception {
        // given
        writeSource("some-module");
        writeReport("some-module", "");

        // when
        Verdict verdict = judge();

        // then
        assertThat(verdict.exitCode()).isZero();
    }

    @Test
    void should_pass_over_only_the_listed_test_when_several_fail() throws Exception {
        // given
        writeSource("some-module");
        writeReport(
                "some-module",
                "    <error message=\"broken\"/>\n  </testcase>\n" + "  <testcase name=\"should_stay\" classname=\""
                        + CLASS + "\">\n    <failure/>\n");
        write("KNOWN-RED.txt", "test: " + CLASS + ".should_hold\n");

        // when
        Verdict verdict = judge();

        // then
        assertThat(verdict.exitCode()).isNotZero();
        assertThat(verdict.output())
                .contains("known red, passed over: " + CLASS + ".should_hold")
                .contains("FAILED: " + CLASS + ".should_stay");
    }
}
