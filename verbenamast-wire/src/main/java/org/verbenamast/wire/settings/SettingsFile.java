package org.verbenamast.wire.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;

/**
 * Reads settings files.
 *
 * <pre>{@code
 * Either<List<SettingsFault>, NodeSettings> settings = SettingsFile.read(path, NodeSettingsReader::read);
 * }</pre>
 */
public final class SettingsFile {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file
     * @param reader makes the settings from the file's object
     * @param <T> the type of the settings
     * @return the settings, or all faults found
     */
    public static <T> Either<List<SettingsFault>, T> read(Path file, Function<SettingsNode, T> reader) {
        try {
            return parse(file.toString(), Files.readString(file), reader);
        } catch (IOException e) {
            return Either.left(List.of(SettingsFault.shouldBeReadable(file.toString(), e.toString())));
        }
    }

    /**
     * Reads a text.
     *
     * @param name the name under which faults of the whole text are reported
     * @param json the text
     * @param reader makes the settings from the text's object
     * @param <T> the type of the settings
     * @return the settings, or all faults found
     */
    public static <T> Either<List<SettingsFault>, T> parse(String name, String json, Function<SettingsNode, T> reader) {
        JsonNode root;
        try {
            root = MAPPER.readTree(json);
        } catch (IOException e) {
            return Either.left(List.of(SettingsFault.shouldBeReadable(name, e.getMessage())));
        }
        if (root == null || !root.isObject()) {
            return Either.left(List.of(SettingsFault.shouldBeReadable(name, String.valueOf(root))));
        }
        List<SettingsFault> faults = new ArrayList<>();
        SettingsNode node = new SettingsNode("", root, faults);
        T settings = reader.apply(node);
        node.refuseUnknown();
        return faults.isEmpty() ? Either.right(settings) : Either.left(faults);
    }
}
