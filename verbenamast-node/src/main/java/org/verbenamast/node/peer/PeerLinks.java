package org.verbenamast.node.peer;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.net.SocketSettings;
import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Deadlines;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.node.loop.NodeLoop;
import org.verbenamast.wire.Opening;

/** The links on which this node sends to other members. */
public final class PeerLinks implements AutoCloseable {

    /** The names that the chart file may use. */
    public static final Vocabulary<LinkEvent, LinkGuard, LinkAction, LinkTimer, NoTag> VOCABULARY =
            new Vocabulary<>(LinkEvent.class, LinkGuard.class, LinkAction.class, LinkTimer.class, NoTag.class);

    private static final long CHECK_MILLIS = 50;
    private static final int MAX_ANNOUNCED = 4_096;
    private static final long SEED_INCARNATION = -1;

    private final Eventloop eventloop;
    private final MemberId self;
    private final Address listensAt;
    private final PeerObserver observer;
    private final int maxFrameBytes;
    private final SocketSettings socketSettings =
            SocketSettings.builder().withTcpNoDelay(true).build();
    private final Map<MemberId, PeerLink> links = new HashMap<>();
    private final ChartInstances<MemberId, LinkEvent, LinkData, LinkInput> states;
    private final Deque<Firing> pending = new ArrayDeque<>();
    private final Map<MemberId, Address> announced = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MemberId, Address> eldest) {
            return size() > MAX_ANNOUNCED;
        }
    };
    private boolean firing;
    private boolean checkScheduled;

    /**
     * Makes links to nobody.
     *
     * @param eventloop the one event loop of the process
     * @param self this member
     * @param listensAt where this member listens for others
     * @param maxFrameBytes the longest frame, in bytes
     * @param observer is told what happens to messages and links
     */
    public PeerLinks(Eventloop eventloop, MemberId self, Address listensAt, int maxFrameBytes, PeerObserver observer) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.self = Objects.requireNonNull(self, "self");
        this.listensAt = Objects.requireNonNull(listensAt, "listensAt");
        this.maxFrameBytes = maxFrameBytes;
        this.observer = Objects.requireNonNull(observer, "observer");
        Chart<LinkEvent, LinkData, LinkInput> chart = ChartReader.bundled("link", VOCABULARY);
        this.states = new ChartInstances<>(chart, event -> LinkInput.NONE, TransitionListener.NONE);
    }

    /**
     * Sends a message.
     *
     * @param to the receiver
     * @param address where the receiver listens
     * @param message the message
     */
    public void send(MemberId to, Address address, PeerMessage message) {
        if (states.find(to) == null) {
            PeerLink link = new PeerLink(to, address, this, maxFrameBytes);
            links.put(to, link);
            states.begin(to, new LinkData(link), NodeLoop.now());
        }
        fire(to, LinkEvent.SEND, new LinkInput(message, null));
    }

    /**
     * Sends a message to a member whose row is not known: to where it said that it listens. Where it said nothing, the
     * message is reported as not sent.
     *
     * @param to the receiver
     * @param message the message
     */
    public void send(MemberId to, PeerMessage message) {
        Address address = announced.get(to);
        if (address == null) {
            reportNotSent(to, message);
        } else {
            send(to, address, message);
        }
    }

    /**
     * Sends a message to whichever member listens at an address.
     *
     * @param seed the address
     * @param message the message
     */
    public void sendToSeed(Address seed, PeerMessage message) {
        send(new MemberId("seed " + seed, SEED_INCARNATION), seed, message);
    }

    /**
     * Notes where a member says that it listens.
     *
     * @param member the member
     * @param address the address
     */
    public void announced(MemberId member, Address address) {
        announced.put(member, address);
    }

    /**
     * Closes the link to a member that is gone for good.
     *
     * @param member the member
     */
    public void forget(MemberId member) {
        fire(member, LinkEvent.CLOSE, LinkInput.NONE);
        PeerLink link = links.remove(member);
        if (link != null) {
            link.release();
        }
    }

    /** Fires an event; one that an action causes is fired after the action's own transition. */
    void fire(MemberId member, LinkEvent event, LinkInput input) {
        pending.add(new Firing(member, event, input));
        if (firing) {
            return;
        }
        firing = true;
        try {
            for (Firing next = pending.poll(); next != null; next = pending.poll()) {
                states.fire(next.member(), next.event(), next.input(), NodeLoop.now(), effect -> {});
            }
        } finally {
            firing = false;
        }
        scheduleCheck();
    }

    private record Firing(MemberId member, LinkEvent event, LinkInput input) {}

    private void scheduleCheck() {
        if (!checkScheduled && states.nextDue() != Deadlines.NOT_ARMED) {
            checkScheduled = true;
            eventloop.delayBackground(CHECK_MILLIS, this::advance);
        }
    }

    private void advance() {
        checkScheduled = false;
        states.advance(NodeLoop.now(), effect -> {});
        scheduleCheck();
    }

    Eventloop reactor() {
        return eventloop;
    }

    SocketSettings socketSettings() {
        return socketSettings;
    }

    Opening openingTo(MemberId member) {
        boolean seed = member.incarnation() == SEED_INCARNATION;
        return new Opening(listensAt, seed ? MemberId.NONE : member);
    }

    MemberId self() {
        return self;
    }

    void countSent(int bytes) {
        observer.sent(bytes);
    }

    /**
     * Reports a message as not sent, once the event at hand has been dealt with.
     *
     * @param to the receiver
     * @param message the message
     */
    public void reportNotSent(MemberId to, PeerMessage message) {
        eventloop.post(() -> observer.happened(new NodeInput.PeerNotSent(to, message)));
    }

    void reportLost(MemberId member) {
        eventloop.post(() -> observer.happened(new NodeInput.PeerLinkLost(member)));
    }

    /**
     * Makes the address of a socket.
     *
     * @param address an IP number and port
     * @return the address of the socket
     */
    public static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    @Override
    public void close() {
        for (MemberId member : List.copyOf(links.keySet())) {
            forget(member);
        }
    }
}
