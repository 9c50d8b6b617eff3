package org.verbenamast.relay.store;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.model.Address;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.relay.net.HttpLink;

/** Sends calls to the store, each on a connection that no other call uses at the same time. */
final class StoreConnectionPool implements AutoCloseable {

    /** Leaves time for one retransmission: TCP resends a lost packet after one second. */
    private static final long CONNECT_TIMEOUT_MILLIS = 1_200;

    /** Longest body of a response that is read, in bytes; four times the store's limit on the rows of one. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    private static final Logger LOG = LoggerFactory.getLogger(StoreConnectionPool.class);

    private final Eventloop eventloop;
    private final Address store;
    private final Deque<HttpLink> idle = new ArrayDeque<>();

    StoreConnectionPool(Eventloop eventloop, Address store) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Sends a call and waits for the whole response. The promise never fails; it yields
     * {@link StoreResponse#NO_RESPONSE} or {@link StoreResponse#UNSENT} instead.
     */
    Promise<StoreResponse> send(StoreMessage.Call call, long timeoutMillis) {
        for (HttpLink link = idle.poll(); link != null; link = idle.poll()) {
            if (link.reusable()) {
                return send(link, call, timeoutMillis);
            }
            link.close();
        }
        return HttpLink.connect(eventloop, store, CONNECT_TIMEOUT_MILLIS)
                .then(
                        link -> send(link, call, timeoutMillis),
                        // Without a connection, nothing was sent.
                        e -> Promise.of(StoreResponse.UNSENT));
    }

    private Promise<StoreResponse> send(HttpLink link, StoreMessage.Call call, long timeoutMillis) {
        SettablePromise<StoreResponse> response = new SettablePromise<>();
        ScheduledRunnable timeout = eventloop.delayBackground(timeoutMillis, () -> {
            link.close();
            response.trySet(StoreResponse.NO_RESPONSE);
        });
        link.begin(request(call), new ResponseCollector(link, response, timeout));
        return response;
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

    private final class ResponseCollector implements HttpLink.Answers {

        private final HttpLink link;
        private final SettablePromise<StoreResponse> response;
        private final ScheduledRunnable timeout;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        private ResponseCollector(HttpLink link, SettablePromise<StoreResponse> response, ScheduledRunnable timeout) {
            this.link = link;
            this.response = response;
            this.timeout = timeout;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void onBody(byte[] bytes) {
            if (body.size() + bytes.length > MAX_BODY_BYTES) {
                LOG.warn("closing a connection to the store: its response exceeds {} bytes", MAX_BODY_BYTES);
                link.close();
                onFailure();
                return;
            }
            body.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            timeout.cancel();
            link.release();
            idle.add(link);
            response.trySet(new StoreResponse(status, body.toByteArray()));
        }

        @Override
        public void onFailure() {
            timeout.cancel();
            response.trySet(StoreResponse.NO_RESPONSE);
        }

        @Override
        public Promise<Void> whenReady() {
            return Promise.complete();
        }
    }
}
