package org.verbenamast.relay.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import org.verbenamast.core.model.Address;

/** A pool of idle connections to other nodes. */
public final class PeerPool implements AutoCloseable {

    /** Many round trips between availability zones, but less than the delay until TCP retransmits a lost packet. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;
    /** Most idle connections kept to one node; the pool closes any more. */
    private static final int MAX_IDLE_LINKS_PER_NODE = 16;

    private final Eventloop eventloop;
    private final Map<Address, Deque<FrameLink>> idle = new HashMap<>();

    /**
     * Creates a pool without connections.
     *
     * @param eventloop the event loop of the process
     */
    public PeerPool(Eventloop eventloop) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
    }

    /**
     * Returns an idle connection, or opens one.
     *
     * @param address the address of the other node
     * @return the connection; the promise fails if the node can't be reached
     */
    public Promise<FrameLink> acquire(Address address) {
        Deque<FrameLink> links = idle.get(address);
        while (links != null && !links.isEmpty()) {
            FrameLink link = links.pollLast();
            if (link.open()) {
                return Promise.of(link);
            }
        }
        return FrameLink.connect(eventloop, address, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Returns to the pool a connection whose exchange is complete on both sides.
     *
     * @param address the address of the other node
     * @param link the connection
     */
    public void release(Address address, FrameLink link) {
        Deque<FrameLink> links = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
        if (!link.open() || links.size() >= MAX_IDLE_LINKS_PER_NODE) {
            link.close();
            return;
        }
        link.setHandler(null);
        links.addLast(link);
    }

    /**
     * Closes the idle connections to a node after one of them turned out to be broken: the others may be as well.
     *
     * @param address the address of the other node
     */
    public void closeIdle(Address address) {
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
