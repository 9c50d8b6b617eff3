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
import org.verbenamast.core.model.Address;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.relay.net.HttpLink;

/** Sends calls to the store, each on a connection that no other call uses meanwhile. */
final class StoreConnection implements AutoCloseable {

    /** Time to connect, in milliseconds; a packet that is lost is sent again after a second. */
    private static final long CONNECT_MILLIS = 1_200;

    private final Eventloop eventloop;
    private final Address store;
    private final Deque<HttpLink> idle = new ArrayDeque<>();

    StoreConnection(Eventloop eventloop, Address store) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.store = Objects.requireNonNull(store, "store");
    }

    /** Sends a call and waits for the whole answer; the promise is always kept, with no answer where none came. */
    Promise<StoreAnswer> send(StoreMessage.Call call, long timeoutMillis) {
        for (HttpLink link = idle.poll(); link != null; link = idle.poll()) {
            if (link.reusable()) {
                return send(link, call, timeoutMillis);
            }
            link.close();
        }
        return HttpLink.connect(eventloop, store, CONNECT_MILLIS)
                .then(
                        link -> send(link, call, timeoutMillis),
                        // Nothing was sent where no connection could be made.
                        e -> Promise.of(StoreAnswer.UNSENT));
    }

    private Promise<StoreAnswer> send(HttpLink link, StoreMessage.Call call, long timeoutMillis) {
        SettablePromise<StoreAnswer> answer = new SettablePromise<>();
        ScheduledRunnable timeout = eventloop.delayBackground(timeoutMillis, () -> {
            link.close();
            answer.trySet(StoreAnswer.NONE);
        });
        link.begin(request(call), new Collector(link, answer, timeout));
        return answer;
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

    private final class Collector implements HttpLink.Answers {

        private final HttpLink link;
        private final SettablePromise<StoreAnswer> answer;
        private final ScheduledRunnable timeout;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;

        private Collector(HttpLink link, SettablePromise<StoreAnswer> answer, ScheduledRunnable timeout) {
            this.link = link;
            this.answer = answer;
            this.timeout = timeout;
        }

        @Override
        public void head(HttpResponse head) {
            status = head.status().code();
        }

        @Override
        public void piece(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void complete() {
            timeout.cancel();
            link.release();
            idle.add(link);
            answer.trySet(new StoreAnswer(status, body.toByteArray()));
        }

        @Override
        public void broken() {
            timeout.cancel();
            answer.trySet(StoreAnswer.NONE);
        }

        @Override
        public Promise<Void> room() {
            return Promise.complete();
        }
    }
}
