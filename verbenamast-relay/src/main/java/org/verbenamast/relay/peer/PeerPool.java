package org.verbenamast.relay.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.verbenamast.core.model.Address;

/** Connections to other nodes that wait for their next exchange. */
public final class PeerPool implements AutoCloseable {

    /** Time to connect, in milliseconds; many round trips between zones, and below the resending of a lost packet. */
    private static final long CONNECT_MILLIS = 400;
    /** Most idle connections to one node; more are closed. */
    private static final int MOST_IDLE = 16;

    private final Eventloop eventloop;
    private final Map<Address, Deque<FrameLink>> idle = new HashMap<>();

    /**
     * Makes a pool without connections.
     *
     * @param eventloop the one event loop of the process
     */
    public PeerPool(Eventloop eventloop) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
    }

    /**
     * Takes a connection that waits, or makes one.
     *
     * @param address where the other node listens
     * @return the connection; the promise is broken where the node is not reached
     */
    public Promise<FrameLink> take(Address address) {
        Deque<FrameLink> links = idle.get(address);
        while (links != null && !links.isEmpty()) {
            FrameLink link = links.pollLast();
            if (link.open()) {
                return Promise.of(link);
            }
        }
        return FrameLink.connect(eventloop, address, CONNECT_MILLIS);
    }

    /**
     * Gives back a connection whose exchange is complete on both sides.
     *
     * @param address where the other node listens
     * @param link the connection
     */
    public void giveBack(Address address, FrameLink link) {
        Deque<FrameLink> links = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!link.open() || links.size() >= MOST_IDLE) {
            link.close();
            return;
        }
        link.use(null);
        links.addLast(link);
    }

    /**
     * Closes the idle connections to a node: one of them was found broken, so the others may be as well.
     *
     * @param address where the node listens
     */
    public void drop(Address address) {
        Deque<FrameLink> links = idle.remove(address);
        if (links != null) {
            links.forEach(FrameLink::close);
        }
    }

    @Override
    public void close() {
        idle.values().forEach(links -> links.forEach(FrameLink::close));
        idle.clear();
    }
}
