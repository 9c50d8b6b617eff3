package org.verbenamast.standins.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import org.verbenamast.standins.Addresses;

/** One route of the proxy: passes bytes between those who connect and the target, with the faults set. */
final class ProxyRoute {

    private final Eventloop eventloop;
    private final String name;
    private final InetSocketAddress target;
    private final SimpleServer server;
    private final Set<ProxyConnection> connections = new HashSet<>();
    private final List<RouteFaults> faults = new ArrayList<>();

    /** Makes a route from a text such as {@code NAME=127.0.0.1:1=127.0.0.1:2}. */
    ProxyRoute(Eventloop eventloop, String route) {
        String[] parts = route.split("=");
        this.eventloop = eventloop;
        this.name = parts[0];
        this.target = Addresses.parse(parts[2]);
        this.server = SimpleServer.builder(eventloop, this::accepted)
                .withListenAddress(Addresses.parse(parts[1]))
                .build();
    }

    void listen() throws IOException {
        server.listen();
    }

    String name() {
        return name;
    }

    /** Sets the faults of the connections from one node, or of all; the earlier ones of the same are replaced. */
    void set(RouteFaults next) {
        faults.removeIf(old -> old.from().equals(next.from()));
        if (!next.equals(RouteFaults.none(name, next.from()))) {
            faults.add(next);
        }
        List.copyOf(connections).forEach(ProxyConnection::faultsChanged);
    }

    RouteFaults faultsOf(String sender) {
        return faults.stream().filter(one -> one.concerns(sender)).findFirst().orElse(RouteFaults.none(name, sender));
    }

    private void accepted(ITcpSocket near) {
        if (faultsOf("").cut()) {
            near.close();
            return;
        }
        TcpSocket.connect(eventloop, target).whenResult(far -> join(near, far)).whenException(e -> near.close());
    }

    private void join(ITcpSocket near, ITcpSocket far) {
        ProxyConnection connection = new ProxyConnection(near, far, this, connections::remove);
        connections.add(connection);
        connection.start();
    }
}
