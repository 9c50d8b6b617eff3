package org.verbenamast.relay.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.verbenamast.wire.settings.SettingsFile;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsWatchTest {

    private static final String SETTINGS = """
            {
              "node": "node-1", "zone": "a", "service": "stock", "server": "127.0.0.1:1", "callers": "127.0.0.1:2",
              "ready": "127.0.0.1:3", "heartbeats": "127.0.0.1:4", "peers": "127.0.0.1:5", "metrics": "127.0.0.1:6",
              "store": "127.0.0.1:7", "drainMillis": 2000, "graceSeconds": 6, "longestHoldMillis": 10000
            }
            """;

    @TempDir
    Path folder;

    private Path file;
    private SettingsWatch watch;

    @BeforeEach
    void createWatch() throws IOException {
        file = Files.writeString(folder.resolve("node.json"), SETTINGS);
        RelayNodeSettings read =
                SettingsFile.read(file, RelayNodeSettings::read).get();
        watch = new SettingsWatch(file, read);
    }

    private void write(String text) throws IOException {
        Files.writeString(file, text);
    }

    @Test
    void should_return_nothing_when_the_file_has_not_changed() {
        assertThat(watch.readIfChanged()).isEmpty();
        assertThat(watch.read()).isEmpty();
    }

    @Test
    void should_return_the_new_durations_when_the_file_changes_without_a_signal() throws IOException {
        write(SETTINGS.replace("\"drainMillis\": 2000", "\"drainMillis\": 12500"));

        assertThat(watch.readIfChanged())
                .get()
                .extracting(RelayNodeSettings::drainMillis)
                .isEqualTo(12_500L);
        assertThat(watch.readIfChanged()).isEmpty();
    }

    @Test
    void should_keep_the_settings_in_force_when_the_file_is_half_written() throws IOException {
        // given
        String next = SETTINGS.replace("\"graceSeconds\": 6", "\"graceSeconds\": 15");

        // when
        write(next.substring(0, next.length() / 2));

        // then
        assertThat(watch.readIfChanged()).isEmpty();
        write(next);
        assertThat(watch.readIfChanged())
                .get()
                .extracting(RelayNodeSettings::graceSeconds)
                .isEqualTo(15L);
    }

    @Test
    void should_keep_the_settings_in_force_when_the_file_is_missing_for_a_while() throws IOException {
        Files.delete(file);
        assertThat(watch.readIfChanged()).isEmpty();

        write(SETTINGS.replace("\"graceSeconds\": 6", "\"graceSeconds\": 7"));
        assertThat(watch.readIfChanged())
                .get()
                .extracting(RelayNodeSettings::graceSeconds)
                .isEqualTo(7L);
    }

    @Test
    void should_keep_name_and_addresses_when_the_file_has_others() throws IOException {
        write(SETTINGS.replace("node-1", "node-22").replace("127.0.0.1:7", "127.0.0.1:70"));

        assertThat(watch.readIfChanged()).isEmpty();
    }

    @Test
    void should_apply_only_durations_when_a_duration_and_an_address_change() throws IOException {
        write(SETTINGS.replace("127.0.0.1:7", "127.0.0.1:70").replace("10000", "3000"));

        assertThat(watch.readIfChanged()).get().satisfies(next -> {
            assertThat(next.longestHoldMillis()).isEqualTo(3_000);
            assertThat(next.store().port()).isEqualTo(7);
        });
    }
}
