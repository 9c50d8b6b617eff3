package org.verbenamast.relay.peer;

import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Address;
import org.verbenamast.relay.net.SocketReader;
import org.verbenamast.relay.net.SocketWriter;
import org.verbenamast.relay.net.Sockets;
import org.verbenamast.wire.FrameCodec;
import org.verbenamast.wire.WireException;
import org.verbenamast.wire.generated.RelayFrame;

/** A connection between two nodes. It carries one exchange after another, one at a time. */
public final class FrameLink implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(FrameLink.class);

    /** Longest frame, in bytes; frames with the head of a request are the longest. */
    private static final int MAX_FRAME_BYTES = 256 * 1024;

    /** Handles the frames received in one exchange. */
    public interface FrameHandler {

        /**
         * Handles a received frame.
         *
         * @param frame the frame
         */
        void onFrame(RelayFrame frame);

        /**
         * Handles that bytes were read.
         *
         * @param heldBytes what the link holds for frames that are not whole, in bytes
         */
        default void onBytesHeld(int heldBytes) {}

        /** Handles the end of the connection. */
        void onEnd();

        /**
         * Waits until this handler can accept more frames.
         *
         * @return a promise that completes once the connection may read on
         */
        Promise<Void> whenReady();
    }

    private final ITcpSocket socket;
    private final FrameCodec<RelayFrame> codec = new FrameCodec<>(RelayFrame.getDefaultInstance(), MAX_FRAME_BYTES);
    private final SocketWriter writer;
    private final SocketReader reader;
    private FrameHandler handler;
    private boolean closed;

    FrameLink(ITcpSocket socket) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.writer = new SocketWriter(Reactor.getCurrentReactor(), socket, this::end);
        this.reader = new SocketReader(socket, new SocketReader.Handler() {
            @Override
            public Promise<Void> onBytes(byte[] bytes) {
                return decode(bytes);
            }

            @Override
            public void onEnd(boolean orderly) {
                end();
            }
        });
        reader.start();
    }

    static Promise<FrameLink> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return Sockets.connect(eventloop, address, timeoutMillis).map(FrameLink::new);
    }

    /**
     * Sets the handler of all frames received from now on.
     *
     * @param next the handler, or null if the link is idle
     */
    public void setHandler(FrameHandler next) {
        handler = next;
    }

    /**
     * Sends a frame; does nothing if the link is closed.
     *
     * @param frame the frame
     */
    public void send(RelayFrame frame) {
        if (!closed) {
            writer.write(codec.encode(frame));
        }
    }

    /**
     * Waits until more may be sent.
     *
     * @return a promise that completes once few enough bytes are pending
     */
    public Promise<Void> whenWritable() {
        return writer.whenWritable();
    }

    /**
     * Returns whether the link can be used.
     *
     * @return whether neither this node nor the other one has closed it
     */
    public boolean open() {
        return !closed && !socket.isClosed();
    }

    private Promise<Void> decode(byte[] bytes) {
        try {
            codec.received(bytes, 0, bytes.length);
        } catch (WireException e) {
            LOG.warn("closing a link to another node, as a frame can't be decoded: {}", e.getMessage());
            end();
            return Promise.complete();
        }
        for (RelayFrame frame = codec.next(); frame != null && !closed; frame = codec.next()) {
            if (handler == null) {
                LOG.warn("closing a link to another node: received a frame while no exchange was in progress");
                end();
                return Promise.complete();
            }
            if (!handle(frame)) {
                return Promise.complete();
            }
        }
        if (handler != null) {
            handler.onBytesHeld(codec.heldBytes());
        }
        return handler == null ? Promise.complete() : handler.whenReady();
    }

    /** Passes a frame to the handler; ends this link alone if the frame holds what no node sends. */
    private boolean handle(RelayFrame frame) {
        try {
            handler.onFrame(frame);
            return true;
        } catch (RuntimeException e) {
            LOG.warn("closing a link to another node, as a frame {} has odd values", frame.getBodyCase(), e);
            end();
            return false;
        }
    }

    private void end() {
        if (closed) {
            return;
        }
        FrameHandler interrupted = handler;
        close();
        if (interrupted != null) {
            interrupted.onEnd();
        }
    }

    @Override
    public void close() {
        closed = true;
        handler = null;
        reader.stop();
        socket.close();
    }
}
