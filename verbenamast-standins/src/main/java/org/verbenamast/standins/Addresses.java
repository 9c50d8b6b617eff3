package org.verbenamast.standins;

import java.net.InetSocketAddress;

/** Reads addresses from options. */
public final class Addresses {

    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param text an IP number and port, such as {@code 127.0.0.1:7000}
     * @return the address
     */
    public static InetSocketAddress parse(String text) {
        int at = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, at), Integer.parseInt(text.substring(at + 1)));
    }
}
