package org.verbenamast.relay.net;

import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.verbenamast.core.model.Address;

/** A connection on which this node sends requests, one at a time. */
public final class HttpLink implements AutoCloseable {

    /** Longest head of an answer, in bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    /** Takes the answer to the request that is under way. */
    public interface Answers {

        /**
         * Takes the head of an answer.
         *
         * @param head the head
         */
        void head(HttpResponse head);

        /**
         * Takes a piece of the body.
         *
         * @param bytes the piece
         */
        void piece(byte[] bytes);

        /** Is told that the answer is complete. */
        void complete();

        /** Is told that the connection ended, or brought something that is no answer, before the answer was whole. */
        void broken();

        /**
         * Waits until more of the answer may be read.
         *
         * @return a promise that is kept once more may come
         */
        Promise<Void> room();
    }

    private final ITcpSocket socket;
    private final HttpCodec codec = HttpCodec.client(MAX_HEAD_BYTES);
    private final Outflow outflow;
    private final Inflow inflow;
    private Answers answers;
    private boolean spent;
    private boolean inAnswer;
    private int requests;

    private HttpLink(ITcpSocket socket) {
        this.socket = Objects.requireNonNull(socket, "socket");
        this.outflow = new Outflow(Reactor.getCurrentReactor(), socket, () -> end(false));
        this.inflow = new Inflow(socket, new Inflow.Taker() {
            @Override
            public Promise<Void> take(byte[] bytes) {
                return received(bytes);
            }

            @Override
            public void ended(boolean orderly) {
                end(orderly);
            }
        });
        inflow.start();
    }

    /**
     * Connects.
     *
     * @param eventloop the one event loop of the process
     * @param address where to
     * @param timeoutMillis how long to wait, in milliseconds
     * @return the connection
     */
    public static Promise<HttpLink> connect(Eventloop eventloop, Address address, long timeoutMillis) {
        return Sockets.connect(eventloop, address, timeoutMillis).map(HttpLink::new);
    }

    /**
     * Begins a request.
     *
     * @param head the head
     * @param taker takes the answer
     */
    public void begin(HttpObject head, Answers taker) {
        answers = Objects.requireNonNull(taker, "taker");
        requests++;
        outflow.write(codec.encode(head));
    }

    /**
     * Sends a piece of the request's body.
     *
     * @param bytes the piece
     */
    public void body(byte[] bytes) {
        outflow.write(codec.encode(bytes));
    }

    /** Ends the request's body. */
    public void endBody() {
        outflow.write(codec.encodeEnd());
    }

    /**
     * Waits until more of the request's body may be sent.
     *
     * @return a promise that is kept once little waits
     */
    public Promise<Void> room() {
        return outflow.room();
    }

    /**
     * Tells whether the connection can take another request.
     *
     * @return whether no request is under way and nothing unexpected came
     */
    public boolean reusable() {
        return !spent && answers == null && !socket.isClosed();
    }

    /**
     * Tells whether the request that is under way is not the first one.
     *
     * @return whether the connection carried another request before
     */
    public boolean reused() {
        return requests > 1;
    }

    private Promise<Void> received(byte[] bytes) {
        try {
            codec.received(bytes);
        } catch (RuntimeException e) {
            // Netty's codecs throw where bytes are no HTTP at all; the connection is of no further use.
            end(false);
            return Promise.complete();
        }
        deliver();
        return answers == null ? Promise.complete() : answers.room();
    }

    private void deliver() {
        for (HttpObject part = codec.next(); part != null; part = codec.next()) {
            if (answers == null || part.decoderResult().isFailure()) {
                end(false);
                return;
            }
            deliver(part);
        }
    }

    private void deliver(HttpObject part) {
        if (part instanceof HttpResponse head) {
            inAnswer = true;
            answers.head(head);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            byte[] bytes = HttpCodec.bytes(content);
            if (bytes.length > 0 && answers != null) {
                answers.piece(bytes);
            }
            if (last && answers != null) {
                inAnswer = false;
                answers.complete();
            }
        }
    }

    /** Lets the next request begin: the answer that was wanted is complete. */
    public void release() {
        answers = null;
    }

    private void end(boolean orderly) {
        if (spent) {
            return;
        }
        spent = true;
        if (orderly && inAnswer) {
            codec.ended();
            deliver();
        }
        Answers told = answers;
        answers = null;
        close();
        if (told != null) {
            told.broken();
        }
    }

    @Override
    public void close() {
        spent = true;
        answers = null;
        inflow.stop();
        socket.close();
    }
}
