package org.verbenamast.core.table;

import java.nio.charset.StandardCharsets;

/**
 * The text over which a command is signed: named fields, each with its length, so that no two different commands have
 * the same text.
 */
public final class SignedText {

    private final StringBuilder text = new StringBuilder();

    private SignedText(String type) {
        text.append(type).append('\n');
    }

    /**
     * Creates a text without fields.
     *
     * @param type the type of the command and the version of its format, which differs for each type of command
     * @return a text that only names the type
     */
    public static SignedText of(String type) {
        return new SignedText(type);
    }

    /**
     * Appends a field.
     *
     * @param name the name of the field
     * @param value the value, whose {@link Object#toString()} is signed
     * @return this text
     */
    public SignedText with(String name, Object value) {
        String formatted = value.toString();
        text.append(name).append(' ').append(formatted.length()).append(' ');
        text.append(formatted).append('\n');
        return this;
    }

    /**
     * Returns the bytes to sign.
     *
     * @return the text in UTF-8
     */
    public byte[] bytes() {
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
