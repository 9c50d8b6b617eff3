package org.verbenamast.relay.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.node.Timing;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpLink;
import org.verbenamast.wire.generated.RelayField;
import org.verbenamast.wire.generated.RelayOpen;

/** One request at the backend server beside this node. */
public final class BackendCall implements HttpLink.Answers, AutoCloseable {

    /** Takes what the server does with the request. */
    public interface Observer {

        /** Is told that the server got nothing, since no connection could be made. */
        void unsent();

        /**
         * Is told that the server said that it has not run the request.
         *
         * @param misdirected whether it is another server or does not hold the key
         */
        void notRun(boolean misdirected);

        /**
         * Takes the head of the answer.
         *
         * @param head the head
         * @param length the length of the body, or -1 where it is not told
         */
        void answer(HttpResponse head, long length);

        /**
         * Takes a piece of the answer's body.
         *
         * @param bytes the piece
         */
        void piece(byte[] bytes);

        /** Is told that the answer is complete. */
        void complete();

        /** Is told that the request was sent and no usable or whole answer came. */
        void broken();

        /**
         * Waits until more of the answer can be passed on.
         *
         * @return a promise that is kept once more may come
         */
        Promise<Void> room();
    }

    private static final int OK_FIRST = 200;
    private static final int OK_LAST = 299;
    private static final int CONTINUE_LAST = 199;
    private static final int MISDIRECTED = 421;

    private final BackendPool pool;
    private final AdmissionRequest request;
    private final RelayOpen open;
    private final Observer observer;
    private final Deque<byte[]> early = new ArrayDeque<>();
    private HttpLink link;
    private boolean bodyEnded;
    private boolean bodySent;
    private boolean closed;
    private boolean skipping;
    private boolean refused;
    private boolean lastUse;
    private int answerStatus;

    /**
     * Makes a call that has not begun.
     *
     * @param pool the connections to the server
     * @param request the request
     * @param open its head
     * @param observer takes what the server does
     */
    public BackendCall(BackendPool pool, AdmissionRequest request, RelayOpen open, Observer observer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.request = Objects.requireNonNull(request, "request");
        this.open = Objects.requireNonNull(open, "open");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Sends the request. */
    public void begin() {
        pool.take(request.kind().repeatable()).whenResult(taken -> begin(taken)).whenException(e -> {
            if (!closed) {
                closed = true;
                observer.unsent();
            }
        });
    }

    private void begin(HttpLink taken) {
        if (closed) {
            pool.giveBack(taken);
            return;
        }
        link = taken;
        link.begin(head(), this);
        for (byte[] piece = early.poll(); piece != null; piece = early.poll()) {
            link.body(piece);
        }
        sendEnd();
    }

    private HttpRequest head() {
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(open.getMethod()), open.getTarget());
        HttpHeaders headers = head.headers();
        headers.set(HttpHeaderNames.HOST, open.getHost());
        List<RelayField> fields = open.getFieldsList();
        fields.forEach(field -> headers.add(field.getName(), field.getValue()));
        long left = Math.max(1, (request.deadlineAt() - RelayLoop.now()) / Timing.NANOS_PER_MILLI);
        headers.set(RequestFields.TIME_LEFT, left);
        headers.set(RequestFields.ONLY_SERVER, request.life().id());
        headers.set(RequestFields.CALLER_SERVICE, open.getCallerService());
        if (open.getBodyLength() > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, open.getBodyLength());
        } else if (open.getBodyLength() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }

    /**
     * Sends a piece of the request's body.
     *
     * @param bytes the piece
     */
    public void body(byte[] bytes) {
        if (link == null) {
            early.add(bytes);
        } else if (!closed) {
            link.body(bytes);
        }
    }

    /** Ends the request's body. */
    public void endBody() {
        bodyEnded = true;
        sendEnd();
    }

    private void sendEnd() {
        if (bodyEnded && link != null && !bodySent && !closed) {
            bodySent = true;
            link.endBody();
        }
    }

    /**
     * Waits until more of the request's body may be sent.
     *
     * @return a promise that is kept once little waits
     */
    public Promise<Void> bodyRoom() {
        return link == null || closed ? Promise.complete() : link.whenWritable();
    }

    @Override
    public void onHead(HttpResponse head) {
        int status = head.status().code();
        if (head.decoderResult().isFailure()) {
            fail();
            return;
        }
        skipping = status <= CONTINUE_LAST || isOfEarlierRequest(head);
        if (skipping) {
            return;
        }
        answerStatus = status;
        lastUse = !HttpUtil.isKeepAlive(head);
        refused = head.headers().contains(RequestFields.NOT_RUN) || status == MISDIRECTED;
        if (refused) {
            return;
        }
        boolean ok = status >= OK_FIRST && status <= OK_LAST;
        if (ok && !isSigned(head)) {
            fail();
            return;
        }
        observer.answer(head, HttpUtil.getContentLength(head, -1L));
    }

    private boolean isOfEarlierRequest(HttpResponse head) {
        String id = head.headers().get(RequestFields.ATTEMPT_ID);
        return id != null && !id.equals(request.attemptId());
    }

    private boolean isSigned(HttpResponse head) {
        return head.headers().contains(RequestFields.SIGNATURE)
                && request.attemptId().equals(head.headers().get(RequestFields.ATTEMPT_ID));
    }

    @Override
    public void onBody(byte[] bytes) {
        if (!skipping && !refused) {
            observer.piece(bytes);
        }
    }

    @Override
    public void onComplete() {
        if (closed) {
            return;
        }
        if (skipping) {
            skipping = false;
            return;
        }
        closed = true;
        if (lastUse || !bodySent) {
            link.close();
        } else {
            link.release();
            pool.giveBack(link);
        }
        if (refused) {
            observer.notRun(answerStatus == MISDIRECTED);
        } else {
            observer.complete();
        }
    }

    @Override
    public void onFailure() {
        if (!closed) {
            closed = true;
            noteReuse();
            observer.broken();
        }
    }

    private void noteReuse() {
        if (answerStatus == 0 && link.reused()) {
            pool.distrust();
        }
    }

    private void fail() {
        if (!closed) {
            closed = true;
            noteReuse();
            link.close();
            observer.broken();
        }
    }

    @Override
    public Promise<Void> whenReady() {
        return observer.room();
    }

    /** Stops the request at the server by closing its connection. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            if (link != null) {
                link.close();
            }
        }
    }
}
