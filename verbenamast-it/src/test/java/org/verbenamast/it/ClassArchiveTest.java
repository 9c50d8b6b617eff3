package org.verbenamast.it;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** The class archive that the deploy file's build makes, with the deploy file's command. */
class ClassArchiveTest {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String MAVEN_STEP = "package && ";
    private static final long MOST_SECONDS = 60;

    @TempDir
    private static Path folder;

    /** What a command printed, and its exit code. */
    private record Outcome(int code, String output) {}

    /** Runs the build without its first step, which is that of this module's own build. */
    @BeforeAll
    static void build() throws IOException, InterruptedException {
        String build = entry("build");
        Files.createDirectories(folder.resolve("deploy"));
        Files.copy(ROOT.resolve("deploy/relay-classes.txt"), folder.resolve("deploy/relay-classes.txt"));
        Files.createSymbolicLink(folder.resolve("verbenamast-relay"), ROOT.resolve("verbenamast-relay"));
        Outcome built = run(build.substring(build.indexOf(MAVEN_STEP) + MAVEN_STEP.length()));
        assertThat(built.code()).as(built.output()).isZero();
    }

    private static String entry(String name) throws IOException {
        Matcher matcher = Pattern.compile("^" + name + " = \"(.*)\"$", Pattern.MULTILINE)
                .matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        assertThat(matcher.find()).as("entry " + name).isTrue();
        return matcher.group(1);
    }

    private static Outcome run(String command) throws IOException, InterruptedException {
        Path output = Files.createTempFile("class-archive", ".log");
        Process process = new ProcessBuilder(List.of("bash", "-c", command))
                .directory(folder.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        assertThat(process.waitFor(MOST_SECONDS, TimeUnit.SECONDS)).as(command).isTrue();
        return new Outcome(process.exitValue(), Files.readString(output, StandardCharsets.UTF_8));
    }

    @Test
    void should_accept_the_archive_when_the_node_is_started_as_deployed() throws Exception {
        // given
        String command = entry("run").replaceFirst("^java ", "java -Xshare:on ");

        // when
        Outcome outcome = run(command + " --version");

        // then
        assertThat(outcome.code()).as(outcome.output()).isZero();
    }

    @Test
    void should_start_all_the_same_when_the_archive_is_of_another_build() throws Exception {
        // given
        Files.writeString(folder.resolve("odd.jsa"), "not an archive");
        String command = entry("run").replace("target/relay/relay.jsa", "odd.jsa");

        // when
        Outcome outcome = run(command + " --version");

        // then
        assertThat(outcome.code()).as(outcome.output()).isZero();
    }
}
