package org.verbenamast.core.table;

import java.nio.charset.StandardCharsets;

/**
 * The text over which a command is signed: named fields, each with its length, so that no two commands share a text.
 */
public final class SignedText {

    private final StringBuilder text = new StringBuilder();

    private SignedText(String form) {
        text.append(form).append('\n');
    }

    /**
     * Begins a text.
     *
     * @param form the name of the form, which no other kind of command has
     * @return an empty text
     */
    public static SignedText of(String form) {
        return new SignedText(form);
    }

    /**
     * Adds a field.
     *
     * @param name the field's name
     * @param value the field's value
     * @return this text
     */
    public SignedText with(String name, Object value) {
        String written = value.toString();
        text.append(name).append(' ').append(written.length()).append(' ');
        text.append(written).append('\n');
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
