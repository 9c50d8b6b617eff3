package org.verbenamast.relay.caller;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;

import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.Reactor;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
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
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpCodec;
import org.verbenamast.relay.net.RecurringSignal;
import org.verbenamast.relay.net.SocketReader;
import org.verbenamast.relay.net.SocketWriter;
import org.verbenamast.wire.generated.RelayAnswer;

/** A caller's HTTP connection. It handles one request at a time; pipelined requests wait. */
final class CallerConnection implements SocketReader.Handler, AutoCloseable {

    private static final String HEAD = "HEAD";

    private final CallerServer server;
    private final ITcpSocket socket;
    private final HttpCodec codec;
    private final SocketWriter outflow;
    private final SocketReader inflow;
    private final Deque<HttpObject> parts = new ArrayDeque<>();
    private CallerExchange exchange;
    private HttpRequest head;
    private final RecurringSignal acceptance = new RecurringSignal();
    private final RecurringSignal requestDone = new RecurringSignal();
    private boolean answering;
    private boolean bodyEnded = true;
    private boolean closeAfterAnswer;
    private long idleSince = RelayLoop.now();

    CallerConnection(CallerServer server, ITcpSocket socket, int maxHeadBytes) {
        this.server = Objects.requireNonNull(server, "server");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.codec = HttpCodec.server(maxHeadBytes);
        this.outflow = new SocketWriter(Reactor.getCurrentReactor(), socket, () -> onEnd(false));
        this.inflow = new SocketReader(socket, this);
        inflow.start();
    }

    /** Returns the time at which the connection became idle, in nanoseconds; {@code Long.MAX_VALUE} if busy. */
    long idleSince() {
        return answering || !bodyEnded ? Long.MAX_VALUE : idleSince;
    }

    @Override
    public Promise<Void> onBytes(byte[] bytes) {
        codec.received(bytes);
        for (HttpObject part = codec.next(); part != null; part = codec.next()) {
            parts.add(part);
        }
        handleParts();
        if (exchange != null && !bodyEnded) {
            return exchange.bodyRoom();
        }
        // A pipelined request is already here: stop reading until the current request has been answered.
        return parts.isEmpty() ? Promise.complete() : requestDone.next();
    }

    private void handleParts() {
        while (!parts.isEmpty()) {
            boolean nextRequest = parts.peek() instanceof HttpRequest;
            if (nextRequest && answering) {
                return;
            }
            handlePart(parts.poll());
        }
    }

    private void handlePart(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            reject(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            head = request;
            bodyEnded = false;
            answering = true;
            closeAfterAnswer = !HttpUtil.isKeepAlive(request) || server.stopping();
            if (HttpUtil.is100ContinueExpected(request)) {
                outflow.write(codec.encode(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)));
            }
            server.begin(this, request);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            handleBody(HttpCodec.bytes(content), last);
        }
    }

    /** Records the exchange of a new request before it is opened, because opening it may already end it. */
    void setExchange(CallerExchange next) {
        exchange = next;
    }

    private void handleBody(byte[] bytes, boolean last) {
        bodyEnded = last;
        if (!answering) {
            closeIfLast();
            return;
        }
        if (exchange == null) {
            return;
        }
        if (bytes.length > 0) {
            exchange.body(bytes);
        }
        if (last && exchange != null) {
            exchange.endBody();
        }
    }

    private void reject(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        closeAfterAnswer = true;
        bodyEnded = true;
        answer(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST, "");
    }

    /** Sends an answer of this node, without a body; {@code retryAfter} is the header's value, or empty for none. */
    void answer(HttpResponseStatus status, String retryAfter) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        if (head != null && head.headers().contains(RequestFields.ATTEMPT_ID)) {
            response.headers().set(RequestFields.ATTEMPT_ID, head.headers().get(RequestFields.ATTEMPT_ID));
        }
        if (!retryAfter.isEmpty()) {
            response.headers().set(RequestFields.RETRY_AFTER, retryAfter);
        }
        addCloseHeader(response);
        outflow.write(codec.encode(response));
        finish();
    }

    private void addCloseHeader(HttpResponse response) {
        closeAfterAnswer = closeAfterAnswer || server.stopping();
        if (closeAfterAnswer) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    void refuse(Refusal reason, long retryAfterMillis) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(retryAfterMillis));
    }

    void fail(boolean timedOut) {
        answer(timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, "");
    }

    /** Sends the head of the server's answer; {@code wholeLength} is the length of its body in bytes, or -1. */
    void beginAnswer(RelayAnswer answer, int wholeLength) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.getStatus()));
        answer.getFieldsList().forEach(field -> response.headers().add(field.getName(), field.getValue()));
        boolean noBody = HEAD.equals(head.method().name());
        long length = wholeLength >= 0 && !noBody ? wholeLength : answer.getBodyLength();
        if (length >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else {
            closeAfterAnswer = true;
        }
        addCloseHeader(response);
        outflow.write(codec.encode(response));
    }

    void sendAnswerBody(byte[] bytes) {
        outflow.write(codec.encode(bytes));
    }

    void endAnswer() {
        outflow.write(codec.encodeEnd());
        CallerExchange sent = exchange;
        exchange = null;
        outflow.whenWritable().whenResult(() -> {
            if (sent != null && server.onExchangeEnded(sent)) {
                sent.onDelivered();
            }
        });
        finish();
    }

    Promise<Void> answerRoom() {
        return outflow.whenWritable();
    }

    /**
     * Closes the connection in the middle of an answer, so that the partial answer does not look complete. A request
     * that followed it on the connection has lost its caller.
     */
    void cut(CallerExchange broken) {
        server.onExchangeEnded(broken);
        if (exchange == broken) {
            exchange = null;
        }
        close();
        server.onConnectionClosed(this);
        if (exchange != null) {
            // The decision that broke off the answer is still running; the loss of the caller is the next one.
            Reactor.getCurrentReactor().post(() -> onEnd(false));
        }
    }

    private void detachExchange() {
        if (exchange != null) {
            server.onExchangeEnded(exchange);
            exchange = null;
        }
    }

    private void finish() {
        detachExchange();
        answering = false;
        idleSince = RelayLoop.now();
        onAccepted();
        if (closeIfLast()) {
            return;
        }
        handleParts();
        if (parts.isEmpty()) {
            requestDone.fire();
        }
    }

    /** Closes the connection once the request is read and answered, if either side marked it as the last one. */
    private boolean closeIfLast() {
        if (!closeAfterAnswer || !bodyEnded) {
            return false;
        }
        inflow.stop();
        outflow.closeWhenWritten();
        server.onConnectionClosed(this);
        return true;
    }

    Promise<Void> whenAccepted() {
        return acceptance.next();
    }

    void onAccepted() {
        acceptance.fire();
    }

    @Override
    public void onEnd(boolean orderly) {
        close();
        if (exchange != null) {
            CallerExchange abandoned = exchange;
            exchange = null;
            abandoned.onCallerGone();
            server.onExchangeEnded(abandoned);
        }
        server.onConnectionClosed(this);
    }

    @Override
    public void close() {
        inflow.stop();
        socket.close();
    }
}
