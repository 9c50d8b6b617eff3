package org.verbenamast.relay.net;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import org.verbenamast.core.model.Address;

/** What all connections of a node have in common. */
public final class Sockets {

    /** Small pieces are sent at once. */
    public static final SocketSettings SETTINGS =
            SocketSettings.builder().withTcpNoDelay(true).build();

    private Sockets() {}

    /**
     * Returns an address in the form of the JDK.
     *
     * @param address the address, with an IP number
     * @return the same address
     */
    public static InetSocketAddress of(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    /**
     * Connects.
     *
     * @param eventloop the one event loop of the process
     * @param address where to
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the connection
     */
    public static Promise<TcpSocket> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return TcpSocket.connect(eventloop, of(address), Duration.ofMillis(timeoutMillis), SETTINGS);
    }
}
