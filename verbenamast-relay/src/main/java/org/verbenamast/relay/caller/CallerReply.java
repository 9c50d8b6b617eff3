package org.verbenamast.relay.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.promise.Promise;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.net.RecurringSignal;
import org.verbenamast.wire.generated.RelayAnswer;

/**
 * The answer to one request of a caller's connection. Answers are written in the order of the requests; what arrives
 * before an answer's turn is held, up to a bound from which on its source has to wait.
 */
final class CallerReply {

    /** Most bytes of an answer that are held before its turn; its source waits from then on. */
    private static final int MAX_HELD_BYTES = 64 * 1024;
    /** Bytes that the head of a held answer counts for. */
    private static final int HEAD_BYTES = 1024;

    /** Retry delay while clients hold too much, in milliseconds; slow heads and bodies end within seconds. */
    private static final long BUSY_RETRY_MILLIS = 1_000;

    private final CallerConnection connection;
    private final int requestBytes;
    private final boolean headOnly;
    private final boolean chunkable;
    private final String attemptId;
    private final RecurringSignal acceptance = new RecurringSignal();
    private final RecurringSignal turn = new RecurringSignal();
    private final Deque<HttpObject> held = new ArrayDeque<>(0);
    private CallerExchange exchange;
    private boolean awaitsContinue;
    private boolean last;
    private boolean begun;
    private boolean complete;
    private boolean sent;
    private int heldBytes;

    CallerReply(CallerConnection connection, HttpRequest request, int requestBytes) {
        this.connection = Objects.requireNonNull(connection, "connection");
        this.requestBytes = requestBytes;
        this.headOnly = HttpMethod.HEAD.equals(request.method());
        this.chunkable = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        this.attemptId = request.headers().get(RequestFields.ATTEMPT_ID, "");
        this.awaitsContinue = HttpUtil.is100ContinueExpected(request);
    }

    /** Records the exchange of the request before it is opened, because opening it may already end it. */
    void setExchange(CallerExchange next) {
        exchange = next;
    }

    /** Returns the request's exchange, or null if this node answers the request by itself or has done so. */
    CallerExchange exchange() {
        return exchange;
    }

    boolean complete() {
        return complete;
    }

    /** Returns whether the connection has to end with this answer. */
    boolean last() {
        return last;
    }

    /** Returns what is held for the request and its answer, in bytes. */
    int heldBytes() {
        return heldBytes + (exchange == null ? 0 : requestBytes + exchange.heldBytes());
    }

    /** Sends an answer of this node, without a body; {@code retryAfter} is the header's value, or empty for none. */
    void answer(HttpResponseStatus status, String retryAfter) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (!attemptId.isEmpty()) {
            response.headers().set(RequestFields.ATTEMPT_ID, attemptId);
        }
        if (!retryAfter.isEmpty()) {
            response.headers().set(RequestFields.RETRY_AFTER, retryAfter);
        }
        begun = true;
        write(response, HEAD_BYTES);
        if (exchange != null) {
            connection.onExchangeEnded(exchange);
            exchange = null;
        }
        finish();
    }

    void refuse(long retryAfterMillis) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(retryAfterMillis));
    }

    void fail(boolean timedOut) {
        answer(timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, "");
    }

    /** Answers a request whose body can't be decoded, if its answer has not begun; otherwise ends the connection. */
    void reject(HttpResponseStatus status) {
        if (begun) {
            connection.onEnd(false);
            return;
        }
        last = true;
        if (exchange != null) {
            exchange.onCallerGone();
        }
        answer(
                status,
                status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        ? RequestFields.retryAfter(BUSY_RETRY_MILLIS)
                        : "");
    }

    /** Sends the head of the server's answer; {@code wholeLength} is the length of its body in bytes, or -1. */
    void beginAnswer(RelayAnswer answer, int wholeLength) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.getStatus()));
        answer.getFieldsList().forEach(field -> response.headers().add(field.getName(), field.getValue()));
        long length = wholeLength >= 0 && !headOnly ? wholeLength : answer.getBodyLength();
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (chunkable) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            last = true;
        }
        begun = true;
        write(response, HEAD_BYTES);
    }

    void sendAnswerBody(byte[] bytes) {
        if (bytes.length > 0) {
            write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)), bytes.length);
        }
    }

    void endAnswer() {
        write(LastHttpContent.EMPTY_LAST_CONTENT, 0);
        finish();
    }

    private void finish() {
        complete = true;
        onAccepted();
        connection.onReplyComplete();
    }

    private void write(HttpObject part, int bytes) {
        if (connection.isFirst(this)) {
            sent = true;
            connection.send(this, part);
        } else {
            held.add(part);
            heldBytes += bytes;
            onHeldChanged();
        }
    }

    /** Reports that more is held for the request. */
    void onHeldChanged() {
        connection.onHeldChanged(false);
    }

    /** Handles that all earlier requests are answered. */
    void onTurn() {
        connection.sendContinueIfAwaited(this);
        heldBytes = 0;
        for (HttpObject part = held.poll(); part != null; part = held.poll()) {
            sent = true;
            connection.send(this, part);
        }
        turn.fire();
    }

    /** Returns whether the caller still waits to be told to send its body, and records that it was told. */
    boolean takeAwaitsContinue() {
        boolean awaited = awaitsContinue && !begun;
        awaitsContinue = false;
        return awaited;
    }

    /**
     * Waits until more of the answer can be accepted.
     *
     * @param bufferedBytes what the request's exchange itself holds of the answer, in bytes
     */
    Promise<Void> room(int bufferedBytes) {
        if (connection.isFirst(this)) {
            return begun ? connection.answerRoom() : Promise.complete();
        }
        return heldBytes + bufferedBytes < MAX_HELD_BYTES ? Promise.complete() : turn.next();
    }

    /**
     * Ends an answer whose rest will not come. If a part was sent, the connection is closed so that the partial answer
     * does not look complete; a complete one that waits for its turn is still sent.
     */
    void cut(CallerExchange broken) {
        if (sent) {
            connection.cut(broken);
        } else if (complete) {
            connection.onExchangeEnded(broken);
        } else {
            held.clear();
            heldBytes = 0;
            fail(false);
        }
    }

    /** Handles that all of the answer was passed to the socket. */
    void onWritten() {
        CallerExchange ended = exchange;
        exchange = null;
        if (ended != null && connection.onExchangeEnded(ended)) {
            ended.onDelivered();
        }
    }

    Promise<Void> whenAccepted() {
        return acceptance.next();
    }

    void onAccepted() {
        acceptance.fire();
    }

    /** Handles that the caller is gone: withdraws the request. */
    void onCallerGone() {
        CallerExchange abandoned = exchange;
        exchange = null;
        if (abandoned != null) {
            abandoned.onCallerGone();
            connection.onExchangeEnded(abandoned);
        }
        acceptance.fire();
        turn.fire();
    }
}
