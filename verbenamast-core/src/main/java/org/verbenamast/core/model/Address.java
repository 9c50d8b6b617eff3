package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * Where a process listens.
 *
 * @param host the IP number
 * @param port the TCP port
 */
public record Address(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Checks the host and the port. */
    public Address {
        Checks.notBlank("host", host);
        Checks.within("port", port, 1, MAX_PORT);
    }

    /**
     * Reads the form that {@link #toString()} writes.
     *
     * @param text a text such as {@code 127.0.0.1:7000}
     * @return the address
     */
    public static Address parse(String text) {
        int at = text.lastIndexOf(':');
        if (at <= 0) {
            throw Checks.malformed("address", "host:port", text);
        }
        try {
            return new Address(text.substring(0, at), Integer.parseInt(text.substring(at + 1)));
        } catch (NumberFormatException e) {
            throw Checks.malformed("address", "host:port", text);
        }
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
