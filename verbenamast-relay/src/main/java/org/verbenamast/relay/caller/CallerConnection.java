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

/** A caller's connection: its requests one after another. */
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
    private final RecurringSignal turn = new RecurringSignal();
    private boolean answering;
    private boolean bodyEnded = true;
    private boolean closeAfter;
    private long idleSince = RelayLoop.now();

    CallerConnection(CallerServer server, ITcpSocket socket, int maxHeadBytes) {
        this.server = Objects.requireNonNull(server, "server");
        this.socket = Objects.requireNonNull(socket, "socket");
        this.codec = HttpCodec.server(maxHeadBytes);
        this.outflow = new SocketWriter(Reactor.getCurrentReactor(), socket, () -> onEnd(false));
        this.inflow = new SocketReader(socket, this);
        inflow.start();
    }

    /** Returns since when the connection has carried nothing, in nanoseconds; the largest value while it does. */
    long idleSince() {
        return answering || !bodyEnded ? Long.MAX_VALUE : idleSince;
    }

    @Override
    public Promise<Void> onBytes(byte[] bytes) {
        codec.received(bytes);
        for (HttpObject part = codec.next(); part != null; part = codec.next()) {
            parts.add(part);
        }
        takeParts();
        if (exchange != null && !bodyEnded) {
            return exchange.bodyRoom();
        }
        // Where another request has come already, reads on only once the one that is under way is answered.
        return parts.isEmpty() ? Promise.complete() : turn.next();
    }

    private void takeParts() {
        while (!parts.isEmpty()) {
            boolean nextRequest = parts.peek() instanceof HttpRequest;
            if (nextRequest && answering) {
                return;
            }
            take(parts.poll());
        }
    }

    private void take(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            reject(part.decoderResult().cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            head = request;
            bodyEnded = false;
            answering = true;
            closeAfter = !HttpUtil.isKeepAlive(request) || server.stopping();
            if (HttpUtil.is100ContinueExpected(request)) {
                outflow.write(codec.encode(new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER)));
            }
            server.begin(this, request);
        }
        if (part instanceof HttpContent content) {
            boolean last = part instanceof LastHttpContent;
            takeBody(HttpCodec.bytes(content), last);
        }
    }

    /** Notes the exchange of the request that has just begun; it may end before it is returned from. */
    void begun(CallerExchange next) {
        exchange = next;
    }

    private void takeBody(byte[] bytes, boolean last) {
        bodyEnded = last;
        if (!answering) {
            closeIfAsked();
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
        closeAfter = true;
        bodyEnded = true;
        answer(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST, "");
    }

    /** Answers without a body of the server's. */
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
        tellEnd(response);
        outflow.write(codec.encode(response));
        finish();
    }

    private void tellEnd(HttpResponse response) {
        closeAfter = closeAfter || server.stopping();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    void refuse(Refusal reason, long retryAfterMillis) {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, RequestFields.retryAfter(retryAfterMillis));
    }

    void fail(boolean timedOut) {
        answer(timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY, "");
    }

    /** Begins the server's answer. */
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
            closeAfter = true;
        }
        tellEnd(response);
        outflow.write(codec.encode(response));
    }

    void piece(byte[] bytes) {
        outflow.write(codec.encode(bytes));
    }

    void endAnswer() {
        outflow.write(codec.encodeEnd());
        CallerExchange ended = exchange;
        outflow.whenWritable().whenResult(() -> {
            if (ended != null) {
                ended.delivered();
            }
        });
        finish();
    }

    Promise<Void> answerRoom() {
        return outflow.whenWritable();
    }

    /** Breaks the connection off, so that what was sent of the answer does not look whole. */
    void cut() {
        close();
        forgetExchange();
        server.closed(this);
    }

    private void forgetExchange() {
        if (exchange != null) {
            server.ended(exchange);
            exchange = null;
        }
    }

    private void finish() {
        forgetExchange();
        answering = false;
        idleSince = RelayLoop.now();
        accepted();
        if (closeIfAsked()) {
            return;
        }
        takeParts();
        if (parts.isEmpty()) {
            turn.fire();
        }
    }

    /** Closes once the request is read and answered, where either side wanted it to be the last. */
    private boolean closeIfAsked() {
        if (!closeAfter || !bodyEnded) {
            return false;
        }
        inflow.stop();
        outflow.closeWhenWritten();
        server.closed(this);
        return true;
    }

    Promise<Void> whenAccepted() {
        return acceptance.next();
    }

    void accepted() {
        acceptance.fire();
    }

    @Override
    public void onEnd(boolean orderly) {
        close();
        if (exchange != null) {
            CallerExchange left = exchange;
            exchange = null;
            left.callerGone();
            server.ended(left);
        }
        server.closed(this);
    }

    @Override
    public void close() {
        inflow.stop();
        socket.close();
    }
}
