package org.verbenamast.wire.settings;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.verbenamast.core.model.Address;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsFileTest {

    private record Sample(String name, Address address, long slots) {}

    private static Sample sample(SettingsNode file) {
        return new Sample(
                file.text("name", "a name"),
                file.form("address", "an address", Address::parse, new Address("127.0.0.1", 1)),
                file.number("slots", "requests", 1, 100, 0));
    }

    private static Either<List<SettingsFault>, Sample> read(String json) {
        return SettingsFile.parse("sample.json", json, SettingsFileTest::sample);
    }

    @Test
    void should_read_when_all_is_well() {
        Sample sample = read("{\"name\": \"a\", \"address\": \"127.0.0.1:80\", \"slots\": 7}")
                .get();
        assertThat(sample).isEqualTo(new Sample("a", new Address("127.0.0.1", 80), 7));
    }

    @Test
    void should_list_every_fault_when_there_are_several() {
        List<SettingsFault> faults = read("{\"name\": 3, \"address\": \"here\", \"slots\": 200, \"slot\": 1}")
                .getLeft();
        assertThat(faults).extracting(SettingsFault::path).containsExactly("name", "address", "slots", "slot");
    }

    @Test
    void should_say_what_is_wanted_with_its_unit_when_a_number_is_out_of_range() {
        List<SettingsFault> faults = read("{\"name\": \"a\", \"address\": \"127.0.0.1:80\", \"slots\": 200}")
                .getLeft();
        assertThat(faults)
                .singleElement()
                .hasToString("slots: found 200, wanted a whole number of requests between 1 and 100");
    }

    @Test
    void should_hint_at_the_nearest_name_when_a_field_is_unknown() {
        List<SettingsFault> faults =
                read("{\"name\": \"a\", \"address\": \"127.0.0.1:80\", \"slots\": 1, \"slotz\": 1}")
                        .getLeft();
        assertThat(faults).singleElement().asString().contains("did you mean <slots>?");
    }

    @Test
    void should_refuse_when_the_text_is_no_object() {
        assertThat(read("[]").getLeft()).singleElement().asString().contains("sample.json");
        assertThat(read("{").isLeft()).isTrue();
    }

    @Test
    void should_refuse_when_the_file_is_missing() {
        Either<List<SettingsFault>, Sample> missing =
                SettingsFile.read(Path.of("no-such-file.json"), SettingsFileTest::sample);
        assertThat(missing.getLeft()).singleElement().asString().contains("no-such-file.json");
    }
}
