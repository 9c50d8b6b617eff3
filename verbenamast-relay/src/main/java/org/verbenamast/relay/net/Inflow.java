package org.verbenamast.relay.net;

import java.util.Objects;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;

/** Reads a socket piece by piece; each piece is taken before the next one is read. */
public final class Inflow {

    /** Takes what is read. */
    public interface Taker {

        /**
         * Takes a piece.
         *
         * @param bytes the bytes
         * @return a promise that is kept once the next piece may be read
         */
        Promise<Void> take(byte[] bytes);

        /**
         * Is told that nothing more comes.
         *
         * @param orderly whether the other side has closed its half, and not broken the connection
         */
        void ended(boolean orderly);
    }

    private final ITcpSocket socket;
    private final Taker taker;
    private boolean stopped;

    /**
     * Makes an inflow.
     *
     * @param socket the socket
     * @param taker takes what is read
     */
    public Inflow(ITcpSocket socket, Taker taker) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.taker = Objects.requireNonNull(taker, "taker");
    }

    /** Reads until the connection ends. */
    public void start() {
        socket.read().whenComplete((buf, e) -> {
            if (stopped) {
                recycle(buf);
                return;
            }
            if (e != null || buf == null) {
                stopped = true;
                taker.ended(e == null);
                return;
            }
            byte[] bytes = buf.asArray();
            taker.take(bytes).whenResult(() -> {
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

    /** Reads nothing more and tells nothing more. */
    public void stop() {
        stopped = true;
    }
}
