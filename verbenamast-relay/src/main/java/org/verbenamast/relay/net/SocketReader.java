package org.verbenamast.relay.net;

import java.util.Objects;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;

/** Reads from a socket with back-pressure: the handler accepts each piece before the next one is read. */
public final class SocketReader {

    /** Handles the bytes read and the end of the connection. */
    public interface Handler {

        /**
         * Handles the bytes of one read.
         *
         * @param bytes the bytes
         * @return a promise that completes once the next piece may be read
         */
        Promise<Void> onBytes(byte[] bytes);

        /**
         * Handles the end of the input; no more bytes follow.
         *
         * @param orderly true if the peer closed its half of the connection, false if reading failed
         */
        void onEnd(boolean orderly);
    }

    private final ITcpSocket socket;
    private final Handler handler;
    private boolean stopped;

    /**
     * Creates a reader that has not started.
     *
     * @param socket the socket to read from
     * @param handler handles the bytes read
     */
    public SocketReader(ITcpSocket socket, Handler handler) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.handler = Objects.requireNonNull(handler, "handler");
    }

    /** Reads until the connection ends or {@link #stop} is called. */
    public void start() {
        socket.read().whenComplete((buf, e) -> {
            if (stopped) {
                recycle(buf);
                return;
            }
            if (e != null || buf == null) {
                stopped = true;
                handler.onEnd(e == null);
                return;
            }
            byte[] bytes = buf.asArray();
            handler.onBytes(bytes).whenResult(() -> {
                if (!stopped) {
                    start();
                }
            });
        });
    }

    private static void recycle(ByteBuf buf) {
        if (buf != null) {
            buf.recycle();
        }
    }

    /** Stops reading; the handler is not called any more. */
    public void stop() {
        stopped = true;
    }
}
