package org.verbenamast.standins.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import org.verbenamast.standins.Addresses;

/** One route of the proxy: passes bytes between those who connect and the target, with the faults set. */
final class ProxyRoute {

    private final Eventloop eventloop;
    private final InetSocketAddress target;
    private final SimpleServer server;
    private final Set<ITcpSocket> sockets = new HashSet<>();
    private RouteFaults faults;

    /** Makes a route from a text such as {@code NAME=127.0.0.1:1=127.0.0.1:2}. */
    ProxyRoute(Eventloop eventloop, String route) {
        String[] parts = route.split("=");
        this.eventloop = eventloop;
        this.faults = RouteFaults.none(parts[0]);
        this.target = Addresses.parse(parts[2]);
        this.server = SimpleServer.builder(eventloop, this::accepted)
                .withListenAddress(Addresses.parse(parts[1]))
                .build();
    }

    void listen() throws IOException {
        server.listen();
    }

    String name() {
        return faults.route();
    }

    void set(RouteFaults next) {
        faults = next;
        if (next.cut()) {
            List.copyOf(sockets).forEach(ITcpSocket::close);
            sockets.clear();
        }
    }

    private void accepted(ITcpSocket near) {
        if (faults.cut()) {
            near.close();
            return;
        }
        TcpSocket.connect(eventloop, target).whenResult(far -> join(near, far)).whenException(e -> near.close());
    }

    private void join(ITcpSocket near, ITcpSocket far) {
        sockets.add(near);
        sockets.add(far);
        pump(near, far, RouteFaults::loseToTarget);
        pump(far, near, RouteFaults::loseFromTarget);
    }

    private void pump(ITcpSocket from, ITcpSocket to, Predicate<RouteFaults> lost) {
        from.read()
                .then(buf -> buf == null ? Promise.of(false) : pass(buf, to, lost))
                .whenResult(open -> {
                    if (open) {
                        pump(from, to, lost);
                    } else {
                        end(from, to);
                    }
                })
                .whenException(e -> end(from, to));
    }

    private Promise<Boolean> pass(ByteBuf buf, ITcpSocket to, Predicate<RouteFaults> lost) {
        if (lost.test(faults)) {
            buf.recycle();
            return Promise.of(true);
        }
        Promise<ByteBuf> ready =
                faults.delayMillis() == 0 ? Promise.of(buf) : Promises.delay(faults.delayMillis(), buf);
        return ready.then(to::write).map(written -> true);
    }

    private void end(ITcpSocket from, ITcpSocket to) {
        sockets.remove(from);
        sockets.remove(to);
        from.close();
        to.close();
    }
}
