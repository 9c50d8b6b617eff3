package org.verbenamast.core.table;

import java.util.Locale;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Zone;

/**
 * What a mark is about.
 *
 * @param kind whether it is an availability zone or a backend server
 * @param name its name
 */
public record MarkSubject(MarkKind kind, String name) {

    /** Checks the parts. */
    public MarkSubject {
        Objects.requireNonNull(kind, "kind");
        Checks.notBlank("name", name);
    }

    /**
     * Returns the subject of an availability zone's marks.
     *
     * @param zone the availability zone
     * @return the subject
     */
    public static MarkSubject of(Zone zone) {
        return new MarkSubject(MarkKind.ZONE, zone.name());
    }

    /**
     * Returns the subject of a backend server's marks.
     *
     * @param server the backend server
     * @return the subject
     */
    public static MarkSubject of(ServerName server) {
        return new MarkSubject(MarkKind.SERVER, server.value());
    }

    /**
     * Reads the form that {@link #toString()} writes.
     *
     * @param text a text such as {@code zone.jkt}
     * @return the subject
     */
    public static MarkSubject parse(String text) {
        int at = text.indexOf('.');
        if (at <= 0) {
            throw Checks.malformed("subject", "zone.NAME or server.NAME", text);
        }
        try {
            MarkKind kind = MarkKind.valueOf(text.substring(0, at).toUpperCase(Locale.ROOT));
            return new MarkSubject(kind, text.substring(at + 1));
        } catch (IllegalArgumentException e) {
            throw Checks.malformed("subject", "zone.NAME or server.NAME", text);
        }
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + "." + name;
    }
}
