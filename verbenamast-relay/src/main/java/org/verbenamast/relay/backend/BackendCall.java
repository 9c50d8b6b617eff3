package org.verbenamast.relay.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
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
import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.node.Timing;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.platform.ServerLoadField;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.net.HttpLink;
import org.verbenamast.wire.generated.RelayField;
import org.verbenamast.wire.generated.RelayOpen;

/** One request to the backend server beside this node. */
public final class BackendCall implements HttpLink.Answers, AutoCloseable {

    /** Receives the events of the call. */
    public interface Observer {

        /** Handles that no connection could be opened; the server received nothing. */
        void onUnsent();

        /**
         * Handles that the server reported that it did not execute the request.
         *
         * @param misdirected whether the server is another incarnation than the intended one, or does not own the key
         */
        void onNotRun(boolean misdirected);

        /**
         * Handles the load that the server reports with an answer or a refusal; comes before these.
         *
         * @param load the load
         */
        void onServerLoad(ServerLoad load);

        /**
         * Handles the head of the answer.
         *
         * @param head the head
         * @param length the length of the body in bytes, or -1 if the server does not state it
         */
        void onAnswerHead(HttpResponse head, long length);

        /**
         * Handles a piece of the answer's body.
         *
         * @param bytes the piece
         */
        void onAnswerBody(byte[] bytes);

        /** Handles that the answer is complete. */
        void onAnswerEnd();

        /** Handles that the request was sent but no valid or complete answer arrived. */
        void onBroken();

        /**
         * Applies backpressure to the answer.
         *
         * @return a promise that completes once the observer can accept more of the answer
         */
        Promise<Void> room();
    }

    private static final int FIRST_SUCCESS_STATUS = 200;
    private static final int LAST_SUCCESS_STATUS = 299;
    private static final int LAST_INFORMATIONAL_STATUS = 199;
    private static final int MISDIRECTED_STATUS = 421;
    /** Most bytes of refusals and of answers to other requests that a call reads. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** Most bytes of a body that are read before the request may be sent; a sender keeps about half of it. */
    private static final int MAX_PENDING_BYTES = 128 * 1024;
    /** Bytes that a head counts for which is not passed on. */
    private static final int DISCARDED_HEAD_BYTES = 1024;

    private final BackendPool pool;
    private final AdmissionRequest request;
    private final RelayOpen open;
    private final Observer observer;
    private final Deque<byte[]> pendingBody = new ArrayDeque<>();
    private final SettablePromise<Void> connectingEnded = new SettablePromise<>();
    private BackendConnection connection;
    private HttpLink link;
    private boolean connecting;
    private boolean bodyEnded;
    private boolean bodySent;
    private boolean closed;
    private boolean skipping;
    private boolean refused;
    private boolean lastOnLink;
    private int answerStatus;
    private int discardedBytes;
    private int pendingBytes;

    /**
     * Creates a call; {@link #begin} sends it.
     *
     * @param pool the pool of connections to the server
     * @param request the request as the admission controller knows it
     * @param open the head of the request
     * @param observer receives the events of the call
     */
    public BackendCall(BackendPool pool, AdmissionRequest request, RelayOpen open, Observer observer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.request = Objects.requireNonNull(request, "request");
        this.open = Objects.requireNonNull(open, "open");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Acquires a connection and sends the request's head, with the part of the body that has already arrived. */
    public void begin() {
        connecting = true;
        pool.acquire(request.attemptId(), request.kind().isRepeatable())
                .whenResult(acquired -> begin(acquired))
                .whenException(e -> {
                    if (!closed) {
                        closed = true;
                        endConnecting();
                        observer.onUnsent();
                    }
                });
    }

    /** Lets the rest of the body arrive; what has arrived was sent or is not needed any more. */
    private void endConnecting() {
        pendingBody.clear();
        pendingBytes = 0;
        connectingEnded.trySet(null);
    }

    private void begin(BackendConnection acquired) {
        if (closed) {
            pool.release(acquired);
            return;
        }
        connection = acquired;
        link = acquired.link();
        link.begin(requestHead(), this);
        for (byte[] piece = pendingBody.poll(); piece != null; piece = pendingBody.poll()) {
            link.body(piece);
        }
        endConnecting();
        sendEndOfBody();
    }

    private HttpRequest requestHead() {
        HttpRequest head =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(open.getMethod()), open.getTarget());
        HttpHeaders headers = head.headers();
        headers.set(HttpHeaderNames.HOST, open.getHost());
        List<RelayField> fields = open.getFieldsList();
        fields.forEach(field -> headers.add(field.getName(), field.getValue()));
        long left = Math.max(1, (request.deadlineAt() - RelayLoop.now()) / Timing.NANOS_PER_MILLI);
        headers.set(RequestFields.TIME_LEFT, left);
        headers.set(RequestFields.ONLY_SERVER, request.incarnation().id());
        headers.set(RequestFields.CALLER_SERVICE, open.getCallerService());
        if (!open.getTenant().isEmpty()) {
            headers.set(RequestFields.TENANT, open.getTenant());
        }
        if (open.getBodyLength() > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, open.getBodyLength());
        } else if (open.getBodyLength() < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }

    /**
     * Sends a piece of the request's body, or keeps it until a connection is available.
     *
     * @param bytes the piece
     */
    public void body(byte[] bytes) {
        if (closed) {
            return;
        }
        if (link == null) {
            pendingBody.add(bytes);
            pendingBytes += bytes.length;
        } else {
            link.body(bytes);
        }
    }

    /**
     * Returns what is held of the body until the request may be sent.
     *
     * @return the bytes
     */
    public int heldBytes() {
        return pendingBytes;
    }

    /** Marks the request's body as complete. */
    public void endBody() {
        bodyEnded = true;
        sendEndOfBody();
    }

    private void sendEndOfBody() {
        if (bodyEnded && link != null && !bodySent && !closed) {
            bodySent = true;
            link.endBody();
        }
    }

    /**
     * Applies backpressure to the request's body. While a connection is being opened, no more of the body is accepted;
     * before that, no more than a sender keeps of it.
     *
     * @return a promise that completes once little of the body is waiting to be written
     */
    public Promise<Void> bodyRoom() {
        if (closed) {
            return Promise.complete();
        }
        if (link == null) {
            return connecting || pendingBytes > MAX_PENDING_BYTES ? connectingEnded : Promise.complete();
        }
        return link.whenWritable();
    }

    @Override
    public void onHead(HttpResponse head) {
        int status = head.status().code();
        if (head.decoderResult().isFailure()) {
            fail();
            return;
        }
        boolean ofEarlierRequest = isOfEarlierRequest(head);
        lastOnLink |= ofEarlierRequest || !HttpUtil.isKeepAlive(head);
        skipping = status <= LAST_INFORMATIONAL_STATUS || ofEarlierRequest;
        if (skipping) {
            discard(DISCARDED_HEAD_BYTES);
            return;
        }
        answerStatus = status;
        ServerLoadField.decode(head.headers().get(RequestFields.SERVER_LOAD)).ifPresent(observer::onServerLoad);
        refused = head.headers().contains(RequestFields.NOT_RUN) || status == MISDIRECTED_STATUS;
        if (refused && !hasOwnId(head)) {
            // It may be of another request, while the server runs this one.
            fail();
        }
        if (refused) {
            return;
        }
        boolean ok = status >= FIRST_SUCCESS_STATUS && status <= LAST_SUCCESS_STATUS;
        if (ok && !isSigned(head)) {
            fail();
            return;
        }
        observer.onAnswerHead(head, HttpUtil.getContentLength(head, -1L));
    }

    private boolean isOfEarlierRequest(HttpResponse head) {
        String id = head.headers().get(RequestFields.ATTEMPT_ID);
        return id != null && !id.equals(request.attemptId());
    }

    private boolean hasOwnId(HttpResponse head) {
        return request.attemptId().equals(head.headers().get(RequestFields.ATTEMPT_ID));
    }

    private boolean isSigned(HttpResponse head) {
        return head.headers().contains(RequestFields.SIGNATURE) && hasOwnId(head);
    }

    /** Counts bytes that are not passed on, and ends a call that receives too many of them. */
    private void discard(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes > MAX_DISCARDED_BYTES && refused) {
            lastOnLink = true;
            onComplete();
        } else if (discardedBytes > MAX_DISCARDED_BYTES) {
            fail();
        }
    }

    @Override
    public void onBody(byte[] bytes) {
        if (skipping || refused) {
            discard(bytes.length);
        } else {
            observer.onAnswerBody(bytes);
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
        if (refused) {
            connection.refusedIds().add(request.attemptId());
        }
        if (lastOnLink || !bodySent) {
            link.close();
        } else {
            link.release();
            pool.release(connection);
        }
        if (refused) {
            observer.onNotRun(answerStatus == MISDIRECTED_STATUS);
        } else {
            observer.onAnswerEnd();
        }
    }

    @Override
    public void onFailure() {
        if (!closed) {
            closed = true;
            distrustIfReused();
            observer.onBroken();
        }
    }

    private void distrustIfReused() {
        if (answerStatus == 0 && link.reused()) {
            pool.distrust();
        }
    }

    private void fail() {
        if (!closed) {
            closed = true;
            distrustIfReused();
            link.close();
            observer.onBroken();
        }
    }

    @Override
    public Promise<Void> whenReady() {
        return observer.room();
    }

    /** Cancels the request at the server by closing its connection. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            endConnecting();
            if (link != null) {
                link.close();
            }
        }
    }
}
