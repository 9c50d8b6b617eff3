package org.verbenamast.node.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.PeerCodec;
import org.verbenamast.wire.generated.Envelope;

/** One connection on which this node sends to another member. What may happen when is in the chart. */
final class PeerLink {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_BACKLOG_MESSAGES = 4_096;

    private final MemberId member;
    private final Address address;
    private final PeerLinks links;
    private final Deque<PeerMessage> held = new ArrayDeque<>();
    private final Deque<byte[]> unwritten = new ArrayDeque<>();
    private final FrameCodec<Envelope> codec;
    private ITcpSocket socket;
    private boolean writing;
    private boolean first;

    PeerLink(MemberId member, Address address, PeerLinks links, int maxFrameBytes) {
        this.member = member;
        this.address = address;
        this.links = links;
        this.codec = new FrameCodec<>(Envelope.getDefaultInstance(), maxFrameBytes);
    }

    boolean backlogFull() {
        return held.size() + unwritten.size() >= MAX_BACKLOG_MESSAGES;
    }

    void hold(PeerMessage message) {
        held.add(message);
    }

    void connect() {
        TcpSocket.connect(links.reactor(), PeerLinks.socketAddress(address), CONNECT_TIMEOUT, links.socketSettings())
                .whenResult(opened -> links.fire(member, LinkEvent.CONNECTED, new LinkInput(null, opened)))
                .whenException(e -> links.fire(member, LinkEvent.CONNECT_FAILED, LinkInput.NONE));
    }

    void use(ITcpSocket opened) {
        socket = opened;
        writing = false;
        first = true;
        unwritten.clear();
        watch(opened);
        while (!held.isEmpty()) {
            write(held.poll());
        }
    }

    /** Reads only to notice the end of the connection: the other side sends on a link of its own. */
    private void watch(ITcpSocket watched) {
        watched.read()
                .whenResult(buf -> {
                    if (buf == null) {
                        broken(watched);
                        return;
                    }
                    buf.recycle();
                    watch(watched);
                })
                .whenException(e -> broken(watched));
    }

    private void broken(ITcpSocket watched) {
        if (watched == socket) {
            links.fire(member, LinkEvent.BROKEN, LinkInput.NONE);
        }
    }

    void write(PeerMessage message) {
        unwritten.add(codec.encode(envelopeOf(message)));
        if (!writing) {
            writeOn();
        }
    }

    private Envelope envelopeOf(PeerMessage message) {
        if (!first) {
            return PeerCodec.encode(links.self(), message);
        }
        first = false;
        return PeerCodec.encodeFirst(links.self(), links.openingTo(member), message);
    }

    void writeOn() {
        writing = !unwritten.isEmpty();
        if (!writing) {
            return;
        }
        ITcpSocket used = socket;
        used.write(joined())
                .whenResult(() -> {
                    if (used == socket) {
                        links.fire(member, LinkEvent.WRITTEN, LinkInput.NONE);
                    }
                })
                .whenException(e -> broken(used));
    }

    private ByteBuf joined() {
        int length = unwritten.stream().mapToInt(bytes -> bytes.length).sum();
        ByteBuf buf = ByteBuf.wrapForWriting(new byte[length]);
        links.countSent(length);
        while (!unwritten.isEmpty()) {
            buf.put(unwritten.poll());
        }
        return buf;
    }

    void refuse(PeerMessage message) {
        links.reportNotSent(member, message);
    }

    void refuseHeld() {
        List<PeerMessage> refused = new ArrayList<>(held);
        held.clear();
        refused.forEach(this::refuse);
    }

    void reportLost() {
        links.reportLost(member);
    }

    void closeSocket() {
        ITcpSocket closing = socket;
        socket = null;
        writing = false;
        unwritten.clear();
        closing.close();
    }

    void release() {
        codec.close();
    }
}
