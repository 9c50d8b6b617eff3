package org.verbenamast.relay.peer;

import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Address;
import org.verbenamast.relay.net.Inflow;
import org.verbenamast.relay.net.Outflow;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayFrame;

/** A connection between two nodes. It carries one exchange at a time and may then carry another. */
public final class FrameLink implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(FrameLink.class);

    /** Longest frame, in bytes; heads of requests are the longest. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Takes the frames that come. */
    public interface Taker {

        /**
         * Takes a frame.
         *
         * @param frame the frame
         */
        void frame(RelayFrame frame);

        /** Is told that the connection has ended. */
        void ended();

        /**
         * Waits until more may be read.
         *
         * @return a promise that is kept once more may come
         */
        Promise<Void> room();
    }

    private final ITcpSocket socket;
    private final FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
    private final Outflow outflow;
    private final Inflow inflow;
    private Taker taker;
    private boolean closed;

    FrameLink(ITcpSocket socket) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.outflow = new Outflow(Reactor.getCurrentReactor(), socket, this::end);
        this.inflow = new Inflow(socket, new Inflow.Taker() {
            @Override
            public Promise<Void> take(byte[] bytes) {
                return received(bytes);
            }

            @Override
            public void ended(boolean orderly) {
                end();
            }
        });
        inflow.start();
    }

    static Promise<FrameLink> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return Sockets.connect(eventloop, address, timeoutMillis).map(FrameLink::new);
    }

    /**
     * Lets frames go to a taker from now on.
     *
     * @param next the taker, or null where the link is idle
     */
    public void use(Taker next) {
        taker = next;
    }

    /**
     * Sends a frame.
     *
     * @param frame the frame
     */
    public void send(RelayFrame frame) {
        if (!closed) {
            outflow.write(codec.encode(frame));
        }
    }

    /**
     * Waits until more may be sent.
     *
     * @return a promise that is kept once little waits
     */
    public Promise<Void> room() {
        return outflow.room();
    }

    /**
     * Tells whether the link can be used.
     *
     * @return whether it is open
     */
    public boolean open() {
        return !closed && !socket.isClosed();
    }

    private Promise<Void> received(byte[] bytes) {
        try {
            codec.received(bytes, 0, bytes.length);
        } catch (WireException e) {
            LOG.warn("a link to another node is closed: {}", e.getMessage());
            end();
            return Promise.complete();
        }
        for (RelayFrame frame = codec.next(); frame != null && !closed; frame = codec.next()) {
            if (taker == null) {
                LOG.warn("a link to another node is closed: a frame came while no exchange was under way");
                end();
                return Promise.complete();
            }
            taker.frame(frame);
        }
        return taker == null ? Promise.complete() : taker.room();
    }

    private void end() {
        if (closed) {
            return;
        }
        Taker told = taker;
        close();
        if (told != null) {
            told.ended();
        }
    }

    @Override
    public void close() {
        closed = true;
        taker = null;
        inflow.stop();
        socket.close();
    }
}
