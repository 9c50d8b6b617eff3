package org.verbenamast.core.table;

import java.util.Locale;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Zone;

/**
 * The availability zone or backend server to which a mark applies.
 *
 * @param kind the kind of subject
 * @param name the name of the zone or server
 */
public record MarkSubject(MarkKind kind, String name) {

    /** Validates the components. */
    public MarkSubject {
        Objects.requireNonNull(kind, "kind");
        Checks.notBlank("name", name);
    }

    /**
     * Returns the subject for an availability zone.
     *
     * @param zone the availability zone
     * @return the subject
     */
    public static MarkSubject of(Zone zone) {
        return new MarkSubject(MarkKind.ZONE, zone.name());
    }

    /**
     * Returns the subject for a backend server.
     *
     * @param server the backend server
     * @return the subject
     */
    public static MarkSubject of(ServerName server) {
        return new MarkSubject(MarkKind.SERVER, server.value());
    }

    /**
     * Parses the format of {@link #toString()}.
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
