package org.verbenamast.relay.net;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import org.verbenamast.core.model.Address;

/** Socket settings and helpers that all connections of a node share. */
public final class Sockets {

    /** Settings of all sockets; without Nagle's algorithm, so that small writes go out at once. */
    public static final SocketSettings SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    private Sockets() {}

    /**
     * Converts an address to that of a socket.
     *
     * @param address the address, whose host is an IP number
     * @return the socket address
     */
    public static InetSocketAddress toSocketAddress(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    /**
     * Opens a connection.
     *
     * @param eventloop the event loop of the process
     * @param address the address to connect to
     * @param timeoutMillis the time limit for connecting, in milliseconds
     * @return the connection; the promise fails if it can't be opened
     */
    public static Promise<TcpSocket> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return TcpSocket.connect(eventloop, toSocketAddress(address), Duration.ofMillis(timeoutMillis), SETTINGS);
    }
}
