package org.verbenamast.relay.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;

/**
 * Writes to a socket in order, with back-pressure for the producer. All bytes written while one event is handled go out
 * in one system call.
 */
public final class SocketWriter {

    /** Most pending bytes before the producer has to pause; enough for a few round trips of the fleet's links. */
    private static final int MAX_PENDING_BYTES = 64 * 1024;

    private final Reactor reactor;
    private final ITcpSocket socket;
    private final Runnable onFailure;
    private final Deque<byte[]> pending = new ArrayDeque<>();
    private int pendingBytes;
    private long writtenBytes;
    private boolean writing;
    private boolean closing;
    private final RecurringSignal writable = new RecurringSignal();

    /**
     * Creates a writer.
     *
     * @param reactor the event loop of the process
     * @param socket the socket to write to
     * @param onFailure runs when a write fails
     */
    public SocketWriter(Reactor reactor, ITcpSocket socket, Runnable onFailure) {
        this.reactor = Objects.requireNonNull(reactor, "reactor");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.onFailure = Objects.requireNonNull(onFailure, "onFailure");
    }

    /**
     * Writes bytes after all earlier ones; discards them if the socket is closed or closing.
     *
     * @param bytes the bytes
     */
    public void write(byte[] bytes) {
        if (bytes.length == 0 || closing || socket.isClosed()) {
            return;
        }
        pending.add(bytes);
        pendingBytes += bytes.length;
        if (!writing) {
            writing = true;
            reactor.post(this::writePending);
        }
    }

    /** Ends this side of the connection once all pending bytes are written; the peer may still send. */
    public void endWhenWritten() {
        if (closing) {
            return;
        }
        closing = true;
        if (!writing) {
            end();
        }
    }

    private void end() {
        if (!socket.isClosed()) {
            socket.write(null).whenException(e -> onFailure.run());
        }
    }

    /**
     * Returns how much waits to be written.
     *
     * @return the bytes that were accepted and that the socket has not taken yet
     */
    public int pendingBytes() {
        return pendingBytes;
    }

    /**
     * Waits until more may be written.
     *
     * @return a promise that is already complete if few enough bytes are pending
     */
    public Promise<Void> whenWritable() {
        if (pendingBytes <= MAX_PENDING_BYTES) {
            return Promise.complete();
        }
        return writable.next();
    }

    /**
     * Returns how much was written, which shows whether the peer reads.
     *
     * @return the bytes that the socket has taken
     */
    public long writtenBytes() {
        return writtenBytes;
    }

    private void writePending() {
        if (socket.isClosed()) {
            writing = false;
            return;
        }
        if (pending.isEmpty()) {
            writing = false;
            if (closing) {
                end();
            }
            return;
        }
        writing = true;
        byte[] joined = drainPending();
        socket.write(ByteBuf.wrapForReading(joined))
                .whenResult(() -> {
                    pendingBytes -= joined.length;
                    writtenBytes += joined.length;
                    signalWritable();
                    writePending();
                })
                .whenException(e -> fail());
    }

    private byte[] drainPending() {
        byte[] joined = new byte[pendingBytes];
        int offset = 0;
        for (byte[] part = pending.poll(); part != null; part = pending.poll()) {
            System.arraycopy(part, 0, joined, offset, part.length);
            offset += part.length;
        }
        return joined;
    }

    private void signalWritable() {
        if (pendingBytes <= MAX_PENDING_BYTES) {
            writable.fire();
        }
    }

    private void fail() {
        writing = false;
        pending.clear();
        pendingBytes = 0;
        onFailure.run();
        signalWritable();
    }
}
