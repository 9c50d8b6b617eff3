package org.verbenamast.wire.settings;

import java.util.Objects;

/**
 * A fault in a settings file.
 *
 * @param path the place in the file, such as {@code services[0].slices}
 * @param found what stands there
 * @param wanted what should stand there, with its unit
 */
public record SettingsFault(String path, String found, String wanted) {

    /** Checks that each part is given. */
    public SettingsFault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(found, "found");
        Objects.requireNonNull(wanted, "wanted");
    }

    @Override
    public String toString() {
        return "%s: found %s, wanted %s".formatted(path, found, wanted);
    }

    static SettingsFault shouldBePresent(String path, String wanted) {
        return new SettingsFault(path, "nothing", wanted);
    }

    static SettingsFault shouldBe(String path, String found, String wanted) {
        return new SettingsFault(path, found, wanted);
    }

    static SettingsFault shouldBeKnown(String path, String nearest) {
        return new SettingsFault(path, "an unknown field", "no such field; did you mean <%s>?".formatted(nearest));
    }

    static SettingsFault shouldBeReadable(String file, String cause) {
        return new SettingsFault(file, cause, "a readable JSON object");
    }
}
