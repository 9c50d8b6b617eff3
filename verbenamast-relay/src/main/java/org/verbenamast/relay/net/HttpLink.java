package org.verbenamast.relay.net;

import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.verbenamast.core.model.Address;

/**
 * A client connection that carries one HTTP request at a time. Bytes that arrive while no response is due belong to no
 * request, and the connection is not used any further: what follows them can't be told from them.
 */
public final class HttpLink implements AutoCloseable {

    /** Longest head of a response, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final byte[] NO_BYTES = {};

    /** Handles the response to the request in progress. */
    public interface Answers {

        /**
         * Handles the head of the response.
         *
         * @param head the status line and the header fields
         */
        void onHead(HttpResponse head);

        /**
         * Handles a piece of the body.
         *
         * @param bytes the piece, not empty
         */
        void onBody(byte[] bytes);

        /** Handles the end of a complete response. */
        void onComplete();

        /** Handles a connection that ended, or received anything but a response, before the response was complete. */
        void onFailure();

        /**
         * Waits until this handler can accept more of the response.
         *
         * @return a promise that completes once the connection may read on
         */
        Promise<Void> whenReady();
    }

    private final ITcpSocket socket;
    private final ResponseDecoder decoder = new ResponseDecoder(HttpCodec.config(MAX_HEAD_BYTES));
    private final HttpCodec codec = HttpCodec.client(decoder);
    private final SocketWriter writer;
    private final SocketReader reader;
    private Answers handler;
    private boolean unusable;
    private boolean inResponse;
    private int requestCount;

    private HttpLink(ITcpSocket socket) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.writer = new SocketWriter(Reactor.getCurrentReactor(), socket, () -> end(false));
        this.reader = new SocketReader(socket, new SocketReader.Handler() {
            @Override
            public Promise<Void> onBytes(byte[] bytes) {
                return decode(bytes);
            }

            @Override
            public void onEnd(boolean orderly) {
                end(orderly);
            }
        });
        reader.start();
    }

    /**
     * Opens a connection.
     *
     * @param eventloop the event loop of the process
     * @param address the address to connect to
     * @param timeoutMillis the time limit for connecting, in milliseconds
     * @return the connection; the promise fails if it can't be opened
     */
    public static Promise<HttpLink> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return Sockets.connect(eventloop, address, timeoutMillis).map(HttpLink::new);
    }

    /**
     * Begins a request.
     *
     * @param head the head of the request, or a whole request
     * @param responseHandler handles the response
     */
    public void begin(HttpRequest head, Answers responseHandler) {
        handler = Objects.requireNonNull(responseHandler, "responseHandler");
        requestCount++;
        decoder.setMethod(head.method());
        decoder.resume();
        writer.write(codec.encode(head));
    }

    /**
     * Sends a piece of the request's body.
     *
     * @param bytes the piece
     */
    public void body(byte[] bytes) {
        writer.write(codec.encode(bytes));
    }

    /** Ends the request's body. */
    public void endBody() {
        writer.write(codec.encodeEnd());
    }

    /**
     * Waits until more of the request's body may be sent.
     *
     * @return a promise that completes once few enough bytes are pending
     */
    public Promise<Void> whenWritable() {
        return writer.whenWritable();
    }

    /**
     * Returns whether the connection can carry another request.
     *
     * @return whether the connection is open, no request is in progress and nothing unexpected was received
     */
    public boolean reusable() {
        return !unusable && handler == null && !socket.isClosed();
    }

    /**
     * Returns whether the request in progress is not the first one.
     *
     * @return whether the connection has carried an earlier request
     */
    public boolean reused() {
        return requestCount > 1;
    }

    private Promise<Void> decode(byte[] bytes) {
        if (handler == null) {
            end(false);
            return Promise.complete();
        }
        try {
            codec.received(bytes);
        } catch (RuntimeException e) {
            // Netty's codecs throw on bytes that are not HTTP at all; the connection can't be used any further.
            end(false);
            return Promise.complete();
        }
        deliver();
        return handler == null ? Promise.complete() : handler.whenReady();
    }

    private void deliver() {
        for (HttpObject part = codec.next(); part != null && handler != null; part = codec.next()) {
            if (part.decoderResult().isFailure()
                    || part instanceof HttpResponse head && ResponseDecoder.isMerged(head)) {
                end(false);
                return;
            }
            deliver(part);
        }
    }

    private void deliver(HttpObject part) {
        if (part instanceof HttpResponse head) {
            inResponse = true;
            handler.onHead(head);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            byte[] bytes = HttpCodec.bytes(content);
            if (bytes.length > 0 && handler != null) {
                handler.onBody(bytes);
            }
            if (last && handler != null) {
                inResponse = false;
                handler.onComplete();
                resume();
            }
        }
    }

    /** Continues with the response after an informational one, or after one that the handler has skipped. */
    private void resume() {
        if (handler == null) {
            return;
        }
        decoder.resume();
        if (codec.hasUndecodedBytes()) {
            codec.received(NO_BYTES);
        }
    }

    /** Detaches the handler after a complete response, so that the next request can begin. */
    public void release() {
        handler = null;
        if (codec.hasUndecodedBytes()) {
            end(false);
        }
    }

    private void end(boolean orderly) {
        if (unusable) {
            return;
        }
        unusable = true;
        if (orderly && inResponse) {
            codec.inputEnded();
            deliver();
        }
        Answers interrupted = handler;
        handler = null;
        close();
        if (interrupted != null) {
            interrupted.onFailure();
        }
    }

    @Override
    public void close() {
        unusable = true;
        handler = null;
        reader.stop();
        socket.close();
    }
}
