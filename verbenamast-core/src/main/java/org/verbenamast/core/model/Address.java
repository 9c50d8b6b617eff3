package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * The address on which a process listens.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record Address(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /** Checks that the host is not blank and that the port is valid. */
    public Address {
        Checks.notBlank("host", host);
        Checks.within("port", port, 1, MAX_PORT);
    }

    /**
     * Parses the form that {@link #toString()} returns.
     *
     * @param text a string such as {@code 127.0.0.1:7000}
     * @return the address
     */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw Checks.malformed("address", "host:port", text);
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw Checks.malformed("address", "host:port", text);
        }
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
