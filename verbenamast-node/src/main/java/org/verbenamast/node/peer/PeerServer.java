package org.verbenamast.node.peer;

import java.io.IOException;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.node.NodeInput;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.Opening;
import org.verbenamast.wire.PeerCodec;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.Envelope;

/** Takes messages from other members. */
public final class PeerServer implements AutoCloseable {

    private final SimpleServer server;
    private final PeerObserver observer;
    private final BiConsumer<MemberId, Address> announced;
    private final MemberId self;
    private final int maxFrameBytes;
    private final Set<ITcpSocket> sockets = new HashSet<>();

    /**
     * Makes a server that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param self this member
     * @param address where to listen
     * @param maxFrameBytes the longest frame that is read, in bytes
     * @param observer takes the messages
     * @param announced takes where a sender listens, before the message that tells it
     */
    public PeerServer(
            Eventloop eventloop,
            MemberId self,
            Address address,
            int maxFrameBytes,
            PeerObserver observer,
            BiConsumer<MemberId, Address> announced) {
        this.observer = Objects.requireNonNull(observer, "observer");
        this.announced = Objects.requireNonNull(announced, "announced");
        this.self = Objects.requireNonNull(self, "self");
        this.maxFrameBytes = maxFrameBytes;
        this.server = SimpleServer.builder(eventloop, this::accepted)
                .withListenAddress(PeerLinks.socketAddress(address))
                .build();
    }

    /**
     * Starts to listen.
     *
     * @throws IOException where the address can't be used
     */
    public void listen() throws IOException {
        server.listen();
    }

    private void accepted(ITcpSocket socket) {
        sockets.add(socket);
        readOn(socket, new FrameCodec<>(Envelope.getDefaultInstance(), maxFrameBytes));
    }

    private void readOn(ITcpSocket socket, FrameCodec<Envelope> codec) {
        socket.read()
                .whenResult(buf -> {
                    if (buf != null && take(buf, codec)) {
                        readOn(socket, codec);
                    } else {
                        end(socket, codec);
                    }
                })
                .whenException(e -> end(socket, codec));
    }

    private void end(ITcpSocket socket, FrameCodec<Envelope> codec) {
        sockets.remove(socket);
        socket.close();
        codec.close();
    }

    /** Reads all whole messages and tells whether the link may be read on. */
    private boolean take(ByteBuf buf, FrameCodec<Envelope> codec) {
        observer.received(buf.readRemaining());
        try {
            codec.received(buf.array(), buf.head(), buf.readRemaining());
        } catch (WireException e) {
            observer.refused(e.fault(), e.getMessage());
            return false;
        } finally {
            buf.recycle();
        }
        boolean open = true;
        for (Envelope envelope = codec.next(); open && envelope != null; envelope = codec.next()) {
            open = take(envelope);
        }
        return open;
    }

    private boolean take(Envelope envelope) {
        try {
            PeerCodec.Received received = PeerCodec.decode(envelope);
            if (received.opening().isPresent()) {
                open(received.from(), received.opening().get());
            }
            received.refused().forEach(e -> observer.refused(e.fault(), e.getMessage()));
            observer.happened(new NodeInput.PeerReceived(received.from(), received.message()));
            return true;
        } catch (WireException e) {
            observer.refused(e.fault(), e.getMessage());
            return !e.fault().endsLink();
        }
    }

    private void open(MemberId from, Opening opening) throws WireException {
        if (!opening.isFor(self)) {
            throw WireException.shouldBeMeantFor(opening.to(), self);
        }
        announced.accept(from, opening.peer());
    }

    @Override
    public void close() {
        server.close();
        java.util.List.copyOf(sockets).forEach(ITcpSocket::close);
    }
}
