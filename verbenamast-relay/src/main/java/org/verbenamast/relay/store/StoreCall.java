package org.verbenamast.relay.store;

import java.io.ByteArrayOutputStream;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.schedule.ScheduledRunnable;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.rows.StoreVersion;
import org.verbenamast.platform.StoreMessage;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpLink;

/**
 * A call to the store in progress. It fails if nothing of the response arrives for some time, not because the whole
 * response takes long. A call that is closed has no result.
 */
final class StoreCall implements HttpLink.Answers, AutoCloseable {

    /** Time without a byte of a response that has begun; leaves time for one retransmission by TCP. */
    private static final long STALL_TIMEOUT_MILLIS = 1_500;
    /** Time limit for the whole response, in milliseconds; after the store's history it is out of date. */
    private static final long MAX_TRANSFER_MILLIS = 20_000;
    /** Delay of a timer above which this process was suspended, so that bytes may be waiting to be read. */
    private static final long SUSPENSION_NANOS = Timing.millisToNanos(250);

    private static final Logger LOG = LoggerFactory.getLogger(StoreCall.class);

    private final Eventloop eventloop;
    private final long firstByteTimeoutMillis;
    private final long maxBytes;
    private final Consumer<HttpLink> reuse;
    private final SettablePromise<StoreResponse> response = new SettablePromise<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Runnable onArriving = () -> {};
    private ResponseTiming timing = ResponseTiming.of(RelayLoop.now());
    private HttpLink link;
    private ScheduledRunnable timer;
    private long sentAt;
    private long timerDueAt;
    private int status;
    private OptionalLong era = OptionalLong.empty();
    private boolean ended;

    /**
     * Creates a call that has not been sent.
     *
     * @param eventloop the event loop of the process
     * @param firstByteTimeoutMillis the time limit for the first byte of the response, in milliseconds
     * @param maxBytes the length from which on a response is not received, in bytes
     * @param reuse receives the connection once it can carry another call
     */
    StoreCall(Eventloop eventloop, long firstByteTimeoutMillis, long maxBytes, Consumer<HttpLink> reuse) {
        this.eventloop = Objects.requireNonNull(eventloop, "eventloop");
        this.firstByteTimeoutMillis = firstByteTimeoutMillis;
        this.maxBytes = maxBytes;
        this.reuse = Objects.requireNonNull(reuse, "reuse");
    }

    /** Sends the call on a connection that no other call uses. */
    void send(HttpLink connection, HttpRequest request) {
        if (ended) {
            reuse.accept(connection);
            return;
        }
        link = connection;
        sentAt = RelayLoop.now();
        startTimer(Timing.millisToNanos(firstByteTimeoutMillis));
        link.begin(request, this);
    }

    /** Ends the call, which could not be sent. */
    void failUnsent() {
        end(StoreResponse.unsent(timing));
    }

    /**
     * Waits for the whole response. The promise never fails; it yields {@link StoreResponse#missing} or
     * {@link StoreResponse#unsent} instead, and nothing if this call is closed.
     */
    Promise<StoreResponse> response() {
        return response;
    }

    /** Sets what to run when the first bytes of a successful response have arrived, and more are to come. */
    StoreCall whenArriving(Runnable action) {
        onArriving = Objects.requireNonNull(action, "action");
        return this;
    }

    private void startTimer(long delayNanos) {
        if (timer != null) {
            timer.cancel();
        }
        timerDueAt = RelayLoop.now() + delayNanos;
        timer = eventloop.delayBackground(1 + delayNanos / Timing.NANOS_PER_MILLI, this::onTimer);
    }

    private void onTimer() {
        long now = RelayLoop.now();
        long stallNanos = Timing.millisToNanos(STALL_TIMEOUT_MILLIS);
        long limitNanos = timing.hasBegun() ? stallNanos : Timing.millisToNanos(firstByteTimeoutMillis);
        long silentAt = Math.max(sentAt, timing.lastByteAt()) + limitNanos;
        boolean endless = timing.hasBegun() && now - timing.firstByteAt() > Timing.millisToNanos(MAX_TRANSFER_MILLIS);
        if (now < silentAt && !endless) {
            startTimer(silentAt - now);
        } else if (now - timerDueAt > SUSPENSION_NANOS && !endless) {
            startTimer(stallNanos);
        } else {
            onFailure();
        }
    }

    private void recordPart(int length) {
        boolean first = !timing.hasBegun();
        timing = timing.withPart(length, RelayLoop.now());
        if (first) {
            startTimer(Timing.millisToNanos(STALL_TIMEOUT_MILLIS));
            eventloop.post(() -> {
                if (!ended && status == HttpResponseStatus.OK.code()) {
                    onArriving.run();
                }
            });
        }
    }

    @Override
    public void onHead(HttpResponse head) {
        status = head.status().code();
        era = era(head);
        recordPart(0);
        if (HttpUtil.getContentLength(head, 0L) > maxBytes) {
            onOversized();
        }
    }

    private static OptionalLong era(HttpResponse head) {
        String told = head.headers().get(StoreMessage.ERA_HEADER);
        OptionalLong read = StoreMessage.era(told);
        if (told != null && (read.isEmpty() || !StoreVersion.isValid(read.getAsLong(), 0))) {
            LOG.warn("the store tells an era that can't be read, the known one stays: {}", told);
            return OptionalLong.empty();
        }
        return read;
    }

    @Override
    public void onBody(byte[] bytes) {
        recordPart(bytes.length);
        if (body.size() + bytes.length > maxBytes) {
            onOversized();
            return;
        }
        body.writeBytes(bytes);
    }

    private void onOversized() {
        LOG.info("closing a connection to the store: its response is longer than {} bytes", maxBytes);
        end(StoreResponse.oversized(timing));
    }

    @Override
    public void onComplete() {
        HttpLink used = link;
        link = null;
        used.release();
        reuse.accept(used);
        end(new StoreResponse(status, era, body.toByteArray(), timing));
    }

    @Override
    public void onFailure() {
        end(StoreResponse.missing(timing));
    }

    @Override
    public Promise<Void> whenReady() {
        return Promise.complete();
    }

    private void end(StoreResponse result) {
        if (!ended) {
            close();
            response.set(result);
        }
    }

    @Override
    public void close() {
        ended = true;
        if (timer != null) {
            timer.cancel();
        }
        if (link != null) {
            link.close();
        }
    }
}
