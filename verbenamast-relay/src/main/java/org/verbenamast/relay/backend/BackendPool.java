package org.verbenamast.relay.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.Timing;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpLink;

/** A pool of idle connections to the backend server beside this node. */
public final class BackendPool implements AutoCloseable {

    /** Connect timeout, in milliseconds; short, since the server runs on the same host. */
    private static final long CONNECT_MILLIS = 300;
    /** Idle time after which a connection is closed, in nanoseconds; servers close idle connections after 10 s. */
    private static final long MAX_IDLE_NANOS = Timing.millisToNanos(4_000);

    /** Time for which non-repeatable requests get new connections after a reused one broke, in nanoseconds. */
    private static final long DISTRUST_NANOS = Timing.millisToNanos(5_000);

    private record Idle(BackendConnection connection, long since) {}

    private final Eventloop eventloop;
    private final Address address;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private long distrustUntil = RelayLoop.now();

    /**
     * Creates an empty pool.
     *
     * @param eventloop the only event loop of the process
     * @param address the address on which the server accepts requests
     */
    public BackendPool(Eventloop eventloop, Address address) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Returns the most recently used idle connection on which the server has not refused the request, or opens a new
     * one. For some time after a reused connection broke, requests that are not repeatable always get a new one.
     *
     * @param id the id of the request
     * @param repeatable whether the request may be sent again if the connection turns out to be broken
     * @return the connection; the promise fails if none can be opened
     */
    Promise<BackendConnection> acquire(String id, boolean repeatable) {
        closeExpired();
        boolean trusted = repeatable || RelayLoop.now() - distrustUntil >= 0;
        Iterator<Idle> latestFirst = idle.descendingIterator();
        while (trusted && latestFirst.hasNext()) {
            BackendConnection connection = latestFirst.next().connection();
            if (!connection.isReusable()) {
                connection.link().close();
                latestFirst.remove();
            } else if (!connection.refusedIds().contains(id)) {
                latestFirst.remove();
                return Promise.of(connection);
            }
        }
        return HttpLink.connect(eventloop, address, CONNECT_MILLIS).map(BackendConnection::of);
    }

    private void closeExpired() {
        while (!idle.isEmpty() && RelayLoop.now() - idle.peekFirst().since() > MAX_IDLE_NANOS) {
            idle.pollFirst().connection().link().close();
        }
    }

    /**
     * Returns a connection to the pool once its answer is complete.
     *
     * @param connection the connection
     */
    void release(BackendConnection connection) {
        idle.addLast(new Idle(connection, RelayLoop.now()));
    }

    /** Records that a reused connection broke, since the server may be about to close the other idle ones too. */
    public void distrust() {
        distrustUntil = RelayLoop.now() + DISTRUST_NANOS;
    }

    /** Closes all idle connections, because another server may now be listening at the address. */
    public void closeIdle() {
        idle.forEach(each -> each.connection().link().close());
        idle.clear();
    }

    @Override
    public void close() {
        closeIdle();
    }
}
