package org.verbenamast.wire.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * An object of a settings file that is read field by field. Faults are collected, so that all are reported at once; a
 * field with a fault reads as a harmless value.
 *
 * <pre>{@code
 * String zone = settings.text("zone", "the name of an availability zone");
 * }</pre>
 */
public final class SettingsNode {

    private final String path;
    private final JsonNode node;
    private final List<SettingsFault> faults;
    private final Set<String> asked = new HashSet<>();

    SettingsNode(String path, JsonNode node, List<SettingsFault> faults) {
        this.path = path;
        this.node = node;
        this.faults = faults;
    }

    private String at(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private JsonNode ask(String field) {
        asked.add(field);
        return node.get(field);
    }

    /**
     * Reads a text that must be there.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @return the text, or "-" where there is a fault
     */
    public String text(String field, String wanted) {
        JsonNode value = ask(field);
        if (value == null) {
            faults.add(SettingsFault.shouldBePresent(at(field), wanted));
            return "-";
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), wanted));
            return "-";
        }
        return value.asText();
    }

    /**
     * Reads a text that may be missing.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @param fallback the value where it is missing
     * @return the text
     */
    public String text(String field, String wanted, String fallback) {
        return node.has(field) ? text(field, wanted) : skipped(field, fallback);
    }

    private <T> T skipped(String field, T fallback) {
        asked.add(field);
        return fallback;
    }

    /**
     * Reads a text of a certain form.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @param parser reads the form; refuses by an {@link IllegalArgumentException}
     * @param harmless the value where there is a fault
     * @param <T> the type of the value
     * @return the value
     */
    public <T> T form(String field, String wanted, Function<String, T> parser, T harmless) {
        int before = faults.size();
        String text = text(field, wanted);
        if (faults.size() > before) {
            return harmless;
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException e) {
            faults.add(SettingsFault.shouldBe(at(field), '"' + text + '"', wanted));
            return harmless;
        }
    }

    /**
     * Reads a whole number in a range.
     *
     * @param field the field's name
     * @param unit the number's unit
     * @param min the least number allowed
     * @param max the greatest number allowed
     * @param fallback the value where it is missing, or a number below the range where it must be there
     * @return the number
     */
    public long number(String field, String unit, long min, long max, long fallback) {
        String wanted = "a whole number of %s between %d and %d".formatted(unit, min, max);
        JsonNode value = ask(field);
        if (value == null && fallback >= min) {
            return fallback;
        }
        if (value == null) {
            faults.add(SettingsFault.shouldBePresent(at(field), wanted));
            return min;
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), wanted));
            return min;
        }
        return value.asLong();
    }

    /**
     * Reads a number with decimals that is not negative.
     *
     * @param field the field's name
     * @param unit the number's unit
     * @param max the greatest number allowed
     * @param fallback the value where it is missing
     * @return the number
     */
    public double decimal(String field, String unit, double max, double fallback) {
        JsonNode value = ask(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isNumber() || value.asDouble() < 0 || value.asDouble() > max) {
            String wanted = "a number of %s between 0 and %s".formatted(unit, max);
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), wanted));
            return fallback;
        }
        return value.asDouble();
    }

    /**
     * Reads a number between zero and one.
     *
     * @param field the field's name
     * @param fallback the value where it is missing
     * @return the number
     */
    public double ratio(String field, double fallback) {
        JsonNode value = ask(field);
        if (value == null) {
            return fallback;
        }
        if (!value.isNumber() || value.asDouble() < 0 || value.asDouble() > 1) {
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), "a ratio between 0 and 1"));
            return fallback;
        }
        return value.asDouble();
    }

    /**
     * Reads a truth value.
     *
     * @param field the field's name
     * @param fallback the value where it is missing
     * @return the truth value
     */
    public boolean flag(String field, boolean fallback) {
        JsonNode value = ask(field);
        if (value != null && !value.isBoolean()) {
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), "true or false"));
        }
        return value == null ? fallback : value.asBoolean(fallback);
    }

    /**
     * Reads an object that may be missing.
     *
     * @param field the field's name
     * @return the object; empty where it is missing
     */
    public SettingsNode object(String field) {
        JsonNode value = ask(field);
        if (value != null && !value.isObject()) {
            faults.add(SettingsFault.shouldBe(at(field), value.toString(), "an object"));
        }
        JsonNode object = value != null && value.isObject() ? value : JsonNodeFactory.instance.objectNode();
        return new SettingsNode(at(field), object, faults);
    }

    /**
     * Reads a list of objects.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @param reader reads one object
     * @param <T> the type of the values
     * @return the values; empty where there is a fault
     */
    public <T> List<T> objects(String field, String wanted, Function<SettingsNode, T> reader) {
        List<T> values = new ArrayList<>();
        JsonNode list = ask(field);
        if (list == null || !list.isArray()) {
            faults.add(SettingsFault.shouldBe(at(field), String.valueOf(list), wanted));
            return values;
        }
        for (int i = 0; i < list.size(); i++) {
            SettingsNode item = new SettingsNode(at(field) + "[" + i + "]", list.get(i), faults);
            values.add(reader.apply(item));
            item.refuseUnknown();
        }
        return values;
    }

    /**
     * Reads a list of objects that may be missing.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @param reader reads one object
     * @param <T> the type of the values
     * @return the values; empty where the list is missing or there is a fault
     */
    public <T> List<T> optionalObjects(String field, String wanted, Function<SettingsNode, T> reader) {
        return node.has(field) ? objects(field, wanted, reader) : skipped(field, List.of());
    }

    /**
     * Reads a list of texts of a certain form that may be missing.
     *
     * @param field the field's name
     * @param wanted what should stand there
     * @param parser reads the form; refuses by an {@link IllegalArgumentException}
     * @param <T> the type of the values
     * @return the values; empty where the list is missing
     */
    public <T> List<T> forms(String field, String wanted, Function<String, T> parser) {
        List<T> values = new ArrayList<>();
        JsonNode list = ask(field);
        if (list != null && !list.isArray()) {
            faults.add(SettingsFault.shouldBe(at(field), list.toString(), wanted));
            return values;
        }
        for (int i = 0; list != null && i < list.size(); i++) {
            try {
                values.add(parser.apply(list.get(i).asText()));
            } catch (IllegalArgumentException e) {
                String item = at(field) + "[" + i + "]";
                faults.add(SettingsFault.shouldBe(item, list.get(i).toString(), wanted));
            }
        }
        return values;
    }

    /** Notes a fault for each field that nobody has asked for. */
    public void refuseUnknown() {
        node.fieldNames().forEachRemaining(field -> {
            if (!asked.contains(field)) {
                faults.add(SettingsFault.shouldBeKnown(at(field), NearestName.of(field, asked)));
            }
        });
    }
}
