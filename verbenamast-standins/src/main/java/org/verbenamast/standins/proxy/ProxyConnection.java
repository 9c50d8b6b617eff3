package org.verbenamast.standins.proxy;

import java.util.function.Consumer;
import java.util.function.Predicate;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;

/** One connection through the proxy. */
final class ProxyConnection {

    private final ITcpSocket near;
    private final ITcpSocket far;
    private final ProxyRoute route;
    private final Consumer<ProxyConnection> ended;
    private String sender;
    private boolean lost;
    private boolean closed;

    ProxyConnection(ITcpSocket near, ITcpSocket far, ProxyRoute route, Consumer<ProxyConnection> ended) {
        this.near = near;
        this.far = far;
        this.route = route;
        this.ended = ended;
    }

    void start() {
        pump(near, far, RouteFaults::loseToTarget);
        pump(far, near, RouteFaults::loseFromTarget);
    }

    /** Applies changed faults: a cut closes, and so does the end of a loss, since a stream with a hole is no use. */
    void faultsChanged() {
        RouteFaults faults = faults();
        if (faults.cut() || (lost && !faults.loseToTarget() && !faults.loseFromTarget())) {
            close();
        }
    }

    private RouteFaults faults() {
        return route.faultsOf(sender == null ? "" : sender);
    }

    private void pump(ITcpSocket from, ITcpSocket to, Predicate<RouteFaults> loses) {
        from.read()
                .then(buf -> buf == null ? Promise.of(false) : pass(buf, from, to, loses))
                .whenResult(open -> {
                    if (open) {
                        pump(from, to, loses);
                    } else {
                        close();
                    }
                })
                .whenException(e -> close());
    }

    private Promise<Boolean> pass(ByteBuf buf, ITcpSocket from, ITcpSocket to, Predicate<RouteFaults> loses) {
        if (sender == null && from == near) {
            sender = SenderName.of(buf.array(), buf.head(), buf.readRemaining());
        }
        RouteFaults faults = faults();
        if (faults.cut()) {
            buf.recycle();
            return Promise.of(false);
        }
        if (loses.test(faults)) {
            lost = true;
            buf.recycle();
            return Promise.of(true);
        }
        Promise<ByteBuf> ready =
                faults.delayMillis() == 0 ? Promise.of(buf) : Promises.delay(faults.delayMillis(), buf);
        return ready.then(to::write).map(written -> true);
    }

    private void close() {
        if (!closed) {
            closed = true;
            near.close();
            far.close();
            ended.accept(this);
        }
    }
}
