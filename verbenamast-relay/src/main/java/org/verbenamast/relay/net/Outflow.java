package org.verbenamast.relay.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;

/**
 * Writes to a socket in order and tells when little enough waits that more may be produced. What is written while one
 * event is handled goes out in one call of the system.
 */
public final class Outflow {

    /** Bytes that may wait before the producer has to pause; a few round trips of the fleet's links. */
    private static final int MOST_WAITING = 64 * 1024;

    private final Reactor reactor;
    private final ITcpSocket socket;
    private final Runnable broken;
    private final Deque<byte[]> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private boolean writing;
    private boolean closing;
    private final Awaited room = new Awaited();

    /**
     * Makes an outflow.
     *
     * @param reactor the one event loop of the process
     * @param socket the socket
     * @param broken is run once where writing fails
     */
    public Outflow(Reactor reactor, ITcpSocket socket, Runnable broken) {
        this.reactor = Objects.requireNonNull(reactor, "reactor");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.broken = Objects.requireNonNull(broken, "broken");
    }

    /**
     * Writes bytes after all earlier ones.
     *
     * @param bytes the bytes
     */
    public void write(byte[] bytes) {
        if (bytes.length == 0 || closing || socket.isClosed()) {
            return;
        }
        waiting.add(bytes);
        waitingBytes += bytes.length;
        if (!writing) {
            writing = true;
            reactor.post(this::writeOn);
        }
    }

    /** Closes the socket once everything is written. */
    public void closeWhenWritten() {
        closing = true;
        if (!writing) {
            socket.close();
        }
    }

    /**
     * Waits until more may be written.
     *
     * @return a promise that is kept at once where little waits
     */
    public Promise<Void> room() {
        if (waitingBytes <= MOST_WAITING) {
            return Promise.complete();
        }
        return room.next();
    }

    private void writeOn() {
        if (socket.isClosed()) {
            writing = false;
            return;
        }
        if (waiting.isEmpty()) {
            writing = false;
            if (closing) {
                socket.close();
            }
            return;
        }
        writing = true;
        byte[] joined = join();
        socket.write(ByteBuf.wrapForReading(joined))
                .whenResult(() -> {
                    waitingBytes -= joined.length;
                    releaseRoom();
                    writeOn();
                })
                .whenException(e -> fail());
    }

    private byte[] join() {
        byte[] joined = new byte[waitingBytes];
        int at = 0;
        for (byte[] part = waiting.poll(); part != null; part = waiting.poll()) {
            System.arraycopy(part, 0, joined, at, part.length);
            at += part.length;
        }
        return joined;
    }

    private void releaseRoom() {
        if (waitingBytes <= MOST_WAITING) {
            room.happened();
        }
    }

    private void fail() {
        writing = false;
        waiting.clear();
        waitingBytes = 0;
        broken.run();
        releaseRoom();
    }
}
