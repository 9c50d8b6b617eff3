package org.verbenamast.relay.store;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.verbenamast.core.model.Address;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.relay.net.HttpLink;

/** Sends calls to the store, each on a connection that no other call uses at the same time. */
final class StoreConnectionPool implements AutoCloseable {

    /** Leaves time for one retransmission: TCP resends a lost packet after one second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_200;

    /** Longest body of a response that is read, in bytes; four times the store's limit on the rows of one. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private final Eventloop eventloop;
    private final Address store;
    private final Deque<HttpLink> idle = new ArrayDeque<>();

    StoreConnectionPool(Eventloop eventloop, Address store) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @param firstByteTimeoutMillis the time limit for the first byte of the response, in milliseconds
     * @return the call in progress
     */
    StoreCall send(StoreMessage.Call call, long firstByteTimeoutMillis) {
        return send(call, firstByteTimeoutMillis, MAX_BODY_BYTES);
    }

    /**
     * Sends a call whose response is not received if it is too long.
     *
     * @param call the call
     * @param firstByteTimeoutMillis the time limit for the first byte of the response, in milliseconds
     * @param maxBytes the length from which on the response is not received, in bytes
     * @return the call in progress
     */
    StoreCall send(StoreMessage.Call call, long firstByteTimeoutMillis, long maxBytes) {
        long longest = Math.min(maxBytes, MAX_BODY_BYTES);
        StoreCall pending = new StoreCall(eventloop, firstByteTimeoutMillis, longest, idle::push);
        for (HttpLink link = idle.poll(); link != null; link = idle.poll()) {
            if (link.reusable()) {
                pending.send(link, request(call));
                return pending;
            }
            link.close();
        }
        HttpLink.connect(eventloop, store, CONNECT_TIMEOUT_MILLIS)
                .whenResult(link -> pending.send(link, request(call)))
                .whenException(e -> pending.failUnsent());
        return pending;
    }

    private DefaultFullHttpRequest request(StoreMessage.Call call) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.target(),
                Unpooled.wrappedBuffer(call.body()));
        request.headers().set(HttpHeaderNames.HOST, store.toString());
        if (call.body().length > 0) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    @Override
    public void close() {
        idle.forEach(HttpLink::close);
        idle.clear();
    }
}
