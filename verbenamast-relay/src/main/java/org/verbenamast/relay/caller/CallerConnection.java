package org.verbenamast.relay.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.verbenamast.core.client.ClientRefusal;
import org.verbenamast.core.client.pipeline.Pipeline;
import org.verbenamast.core.client.pipeline.PipelineInput;
import org.verbenamast.core.node.Timing;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.net.HttpCodec;
import org.verbenamast.relay.net.RecurringSignal;
import org.verbenamast.relay.net.RefusedHeadException;
import org.verbenamast.relay.net.RequestInput;
import org.verbenamast.relay.net.SocketReader;
import org.verbenamast.relay.net.SocketWriter;

/**
 * A caller's HTTP connection. Carries out what the {@link Pipeline} decides: which requests are begun while earlier
 * ones are unanswered, in which order answers are written, and when the connection ends.
 */
final class CallerConnection implements SocketReader.Handler, ClientRegister.Client, AutoCloseable {

    /** Written directly: the codec would count it as the response to the request. */
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Most bytes that are read while a request waits for earlier answers; reading on shows that the caller is gone. */
    private static final int MAX_BACKLOG_BYTES = 32 * 1024;

    private final CallerServer server;
    private final ITcpSocket socket;
    private final HttpCodec codec;
    private final RequestInput input;
    private final SocketWriter outflow;
    private final SocketReader inflow;
    private final Pipeline pipeline;
    private final Deque<CallerReply> replies = new ArrayDeque<>(1);
    private final Deque<HttpObject> parts = new ArrayDeque<>(2);
    private final RecurringSignal backlogRead = new RecurringSignal();
    private CallerReply receiving;
    private boolean paused;
    private long receivedAt = RelayLoop.now();
    private long sentAt = receivedAt;
    private long headBegunAt = receivedAt;
    private long lastWrittenBytes;
    private boolean proceeding;
    private boolean ended;
    private long idleSince = RelayLoop.now();

    CallerConnection(CallerServer server, ITcpSocket socket, int maxHeadBytes, Pipeline pipeline) {
        this.server = Objects.requireNonNull(server, "server");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.pipeline = Objects.requireNonNull(pipeline, "pipeline");
        this.codec = HttpCodec.server(maxHeadBytes);
        this.input =
                new RequestInput(codec, maxHeadBytes, weight -> server.clients().permits(this, weight));
        this.outflow = new SocketWriter(Reactor.getCurrentReactor(), socket, () -> onEnd(false));
        this.inflow = new SocketReader(socket, this);
        server.clients().open(this, receivedAt);
        inflow.start();
    }

    /** Returns the time at which the connection became idle, in nanoseconds; {@code Long.MAX_VALUE} if busy. */
    long idleSince() {
        return pipeline.busy() || pipeline.sendsNoMore() || !parts.isEmpty() ? Long.MAX_VALUE : idleSince;
    }

    /** Closes the connection if the caller has had enough time to read the last answer. */
    void advance(long now) {
        pipeline.advance(now);
        if (pipeline.ended()) {
            onEnd(true);
            return;
        }
        onHeldChanged(false);
        if (makesNoProgress(now)) {
            server.clients().count(ClientRefusal.NO_PROGRESS);
            onEnd(false);
        }
    }

    /** Returns whether the caller neither completes a head, sends a body on nor reads its answers in time. */
    private boolean makesNoProgress(long now) {
        if (outflow.pendingBytes() == 0 || outflow.writtenBytes() != lastWrittenBytes) {
            sentAt = now;
        }
        lastWrittenBytes = outflow.writtenBytes();
        long idleNanos = Timing.millisToNanos(server.limits().idleTimeoutMillis());
        if (!input.isInHead()) {
            headBegunAt = now;
        }
        return now - headBegunAt > Timing.millisToNanos(server.limits().headerTimeoutMillis())
                || receiving != null && !paused && now - receivedAt > idleNanos
                || now - sentAt > idleNanos;
    }

    @Override
    public Promise<Void> onBytes(byte[] bytes) {
        if (pipeline.lastKnown() && receiving == null) {
            return Promise.complete();
        }
        input.add(bytes);
        proceed();
        onHeldChanged(true);
        Promise<Void> room = inputRoom();
        paused = !room.isComplete();
        return room.whenResult(() -> {
            paused = false;
            receivedAt = RelayLoop.now();
        });
    }

    private Promise<Void> inputRoom() {
        if (!parts.isEmpty()) {
            return input.heldBytes() < MAX_BACKLOG_BYTES ? Promise.complete() : backlogRead.next();
        }
        CallerExchange reading = receiving == null ? null : receiving.exchange();
        return reading == null ? Promise.complete() : reading.bodyRoom();
    }

    /** Reports what the connection holds to the budget of all clients. */
    void onHeldChanged(boolean progressed) {
        if (!ended) {
            server.clients().record(this, heldBytes(), progressed, RelayLoop.now());
        }
    }

    /** Handles what has arrived and writes the answers that are due, in a loop: answers may be complete at once. */
    private void proceed() {
        if (proceeding || ended) {
            return;
        }
        proceeding = true;
        try {
            while (!ended && step()) {
                // Each step changes what the next one finds.
            }
        } finally {
            proceeding = false;
        }
    }

    private boolean step() {
        if (!replies.isEmpty() && replies.peek().complete()) {
            finishFirst();
            return true;
        }
        if (!parts.isEmpty()) {
            return handleNextPart();
        }
        return decodeBacklog();
    }

    private boolean decodeBacklog() {
        if (input.decode(parts)) {
            return true;
        }
        backlogRead.fire();
        return false;
    }

    private boolean handleNextPart() {
        HttpObject part = parts.peek();
        if (part instanceof HttpRequest request) {
            return handleHead(request);
        }
        parts.poll();
        if (part.decoderResult().isFailure()) {
            reject(part);
        } else if (part instanceof HttpContent content) {
            handleBody(HttpCodec.bytes(content), part instanceof LastHttpContent);
        }
        return true;
    }

    private boolean handleHead(HttpRequest request) {
        if (pipeline.lastKnown()) {
            skipRest();
            return false;
        }
        boolean malformed = request.decoderResult().isFailure();
        boolean last = malformed || !HttpUtil.isKeepAlive(request);
        boolean persistent = malformed || request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        PipelineInput offered = new PipelineInput(
                persistent, last, () -> malformed || server.isRepeatable(request), heldBytes(), server.stopping());
        if (!pipeline.begin(offered, RelayLoop.now())) {
            return false;
        }
        parts.poll();
        CallerReply reply = new CallerReply(this, request, malformed ? 0 : input.headWeight());
        replies.add(reply);
        receiving = reply;
        if (malformed) {
            reject(request);
        } else {
            sendContinueIfAwaited(reply);
            server.begin(reply, request);
        }
        return true;
    }

    /** Returns what is held for the connection's requests and their answers, in bytes. */
    long heldBytes() {
        long bytes = outflow.pendingBytes() + input.heldBytes() + (parts.isEmpty() ? 0 : input.headWeight());
        for (CallerReply reply : replies) {
            bytes += reply.heldBytes();
        }
        return bytes;
    }

    /** Drops what follows the last request: it counts as not read. */
    private void skipRest() {
        parts.clear();
        input.drop();
        backlogRead.fire();
    }

    private void handleBody(byte[] bytes, boolean last) {
        CallerReply reply = receiving;
        if (last) {
            endBody();
        }
        CallerExchange exchange = reply == null ? null : reply.exchange();
        if (exchange == null) {
            return;
        }
        if (bytes.length > 0) {
            exchange.body(bytes);
        }
        if (last && reply.exchange() == exchange) {
            exchange.endBody();
        }
    }

    private void endBody() {
        receiving = null;
        pipeline.onBodyRead(RelayLoop.now());
        idleSince = RelayLoop.now();
        endIfAnswered();
    }

    private void reject(HttpObject part) {
        CallerReply reply = receiving;
        if (reply == null) {
            return;
        }
        endBody();
        reply.reject(statusOf(part.decoderResult().cause()));
    }

    private HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof RefusedHeadException refused) {
            server.clients().count(refused.reason());
            return switch (refused.reason()) {
                case HELD_BYTES -> HttpResponseStatus.SERVICE_UNAVAILABLE;
                case HEAD_TOO_LONG -> HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
                default -> HttpResponseStatus.BAD_REQUEST;
            };
        }
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
    }

    /** Returns whether an answer is due, that is, all earlier requests are answered. */
    boolean isFirst(CallerReply reply) {
        return replies.peek() == reply;
    }

    /** Writes a part of the answer that is due. */
    void send(CallerReply reply, HttpObject part) {
        if (part instanceof HttpResponse head
                && pipeline.beginAnswer(reply.last(), server.stopping(), RelayLoop.now())) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        outflow.write(codec.encode(part));
    }

    void sendContinueIfAwaited(CallerReply reply) {
        if (isFirst(reply) && reply.takeAwaitsContinue()) {
            outflow.write(CONTINUE);
        }
    }

    Promise<Void> answerRoom() {
        return outflow.whenWritable();
    }

    void onReplyComplete() {
        proceed();
    }

    private void finishFirst() {
        CallerReply done = replies.poll();
        pipeline.onAnswered(RelayLoop.now());
        idleSince = RelayLoop.now();
        outflow.whenWritable().whenResult(done::onWritten);
        CallerReply next = replies.peek();
        if (next != null) {
            next.onTurn();
        }
        endIfAnswered();
    }

    private void endIfAnswered() {
        if (pipeline.sendsNoMore()) {
            skipRest();
            outflow.endWhenWritten();
        }
    }

    /**
     * Closes the connection in the middle of an answer, so that the partial answer does not look complete. Requests
     * that followed it on the connection have lost their caller.
     */
    void cut(CallerExchange broken) {
        server.onExchangeEnded(broken);
        // The decision that broke off the answer is still running; the loss of the caller is the next one.
        CallerReply first = replies.peek();
        if (first != null && first.exchange() == broken) {
            first.setExchange(null);
        }
        pipeline.onLost(RelayLoop.now());
        close();
        Reactor.getCurrentReactor().post(() -> onEnd(false));
    }

    /** Forgets an exchange and returns whether it was still open. */
    boolean onExchangeEnded(CallerExchange exchange) {
        return server.onExchangeEnded(exchange);
    }

    @Override
    public void onEnd(boolean orderly) {
        if (ended) {
            return;
        }
        ended = true;
        pipeline.onLost(RelayLoop.now());
        close();
        skipRest();
        server.clients().close(this);
        List<CallerReply> lost = List.copyOf(replies);
        replies.clear();
        lost.forEach(CallerReply::onCallerGone);
        server.onConnectionClosed(this);
    }

    @Override
    public void evict() {
        // The client may be the one whose bytes are being handled.
        inflow.stop();
        Reactor.getCurrentReactor().post(() -> onEnd(false));
    }

    @Override
    public void close() {
        inflow.stop();
        socket.close();
    }
}
