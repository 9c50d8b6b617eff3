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
import org.verbenamast.relay.RelayLoop;
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
     * {@link StoreResponse#missing} or {@link StoreResponse#unsent} instead.
     */
    Promise<StoreResponse> send(StoreMessage.Call call, long timeoutMillis) {
        ResponseTiming timing = ResponseTiming.of(RelayLoop.now());
        for (HttpLink link = idle.poll(); link != null; link = idle.poll()) {
            if (link.reusable()) {
                return send(link, call, timeoutMillis, timing);
            }
            link.close();
        }
        return HttpLink.connect(eventloop, store, CONNECT_TIMEOUT_MILLIS)
                .then(
                        link -> send(link, call, timeoutMillis, timing),
                        // Without a connection, nothing was sent.
                        e -> Promise.of(StoreResponse.unsent(timing)));
    }

    private Promise<StoreResponse> send(
            HttpLink link, StoreMessage.Call call, long timeoutMillis, ResponseTiming timing) {
        ResponseCollector collector = new ResponseCollector(link, timing);
        collector.timeout = eventloop.delayBackground(timeoutMillis, () -> {
            link.close();
            collector.onFailure();
        });
        link.begin(request(call), collector);
        return collector.response;
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
        private final SettablePromise<StoreResponse> response = new SettablePromise<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ScheduledRunnable timeout;
        private ResponseTiming timing;
        private int status;

        private ResponseCollector(HttpLink link, ResponseTiming timing) {
            this.link = link;
            this.timing = timing;
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            timing = timing.withPart(0, RelayLoop.now());
        }

        @Override
        public void onBody(byte[] bytes) {
            timing = timing.withPart(bytes.length, RelayLoop.now());
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
            response.trySet(new StoreResponse(status, body.toByteArray(), timing));
        }

        @Override
        public void onFailure() {
            timeout.cancel();
            response.trySet(StoreResponse.missing(timing));
        }

        @Override
        public Promise<Void> whenReady() {
            return Promise.complete();
        }
    }
}
