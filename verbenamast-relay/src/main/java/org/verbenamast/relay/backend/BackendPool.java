package org.verbenamast.relay.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.node.Timing;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpLink;

/** Connections to the backend server beside this node that wait for their next request. */
public final class BackendPool implements AutoCloseable {

    /** Time to connect, in milliseconds; the server runs on the same host. */
    private static final long CONNECT_MILLIS = 300;
    /** Age from which an idle connection is not used any more, in nanoseconds; servers close theirs after 10 s. */
    private static final long MAX_IDLE_NANOS = Timing.nanos(4_000);

    /** Time for which connections are not used again for what must not be repeated, in nanoseconds. */
    private static final long DISTRUST_NANOS = Timing.nanos(5_000);

    private record Idle(HttpLink link, long since) {}

    private final Eventloop eventloop;
    private final Address address;
    private final Deque<Idle> idle = new ArrayDeque<>();
    private long distrustUntil = RelayLoop.now();

    /**
     * Makes a pool without connections.
     *
     * @param eventloop the one event loop of the process
     * @param address where the server takes requests
     */
    public BackendPool(Eventloop eventloop, Address address) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.address = Objects.requireNonNull(address, "address");
    }

    /**
     * Takes the connection that was used last, or makes one.
     *
     * @param repeatable whether the request could be sent again if the connection turned out to be broken
     * @return the connection; the promise is broken where none can be made
     */
    public Promise<HttpLink> acquire(boolean repeatable) {
        closeExpired();
        boolean trusted = repeatable || RelayLoop.now() - distrustUntil >= 0;
        while (trusted && !idle.isEmpty()) {
            HttpLink link = idle.pollLast().link();
            if (link.reusable()) {
                return Promise.of(link);
            }
            link.close();
        }
        return HttpLink.connect(eventloop, address, CONNECT_MILLIS);
    }

    private void closeExpired() {
        while (!idle.isEmpty() && RelayLoop.now() - idle.peekFirst().since() > MAX_IDLE_NANOS) {
            idle.pollFirst().link().close();
        }
    }

    /**
     * Gives back a connection whose answer is complete.
     *
     * @param link the connection
     */
    public void release(HttpLink link) {
        idle.addLast(new Idle(link, RelayLoop.now()));
    }

    /** Notes that a connection broke as it was used again: the server may end others in the same way. */
    public void distrust() {
        distrustUntil = RelayLoop.now() + DISTRUST_NANOS;
    }

    /** Closes all idle connections: the server may be another one now. */
    public void closeIdle() {
        idle.forEach(each -> each.link().close());
        idle.clear();
    }

    @Override
    public void close() {
        closeIdle();
    }
}
