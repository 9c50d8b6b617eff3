package org.verbenamast.relay.caller;

import java.util.Objects;

import com.google.protobuf.ByteString;
import io.activej.promise.Promise;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.peer.FrameLink;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.generated.RelayReceived;
import org.verbenamast.wire.generated.RelayRefused;
import org.verbenamast.wire.relay.RelayFrames;

/** One attempt at a caller's request: an exchange with the node beside a backend server. */
final class RelayAttempt implements FrameLink.FrameHandler, AutoCloseable {

    /** Receives the events of the attempt. */
    interface Observer {

        /** Handles that the request's head was sent; the observer then sends the part of the body that it has. */
        void onHeadSent();

        /** Handles that no connection to the node could be opened; nothing was sent. */
        void onUnreachable();

        /** Handles that the node has passed the request to its server. */
        void onAccepted();

        /** Handles the versions that the other node knows of the tables that every node follows. */
        void onStoreVersions(StoreVersions versions);

        /** Handles a refusal: the request was not executed and will not be. */
        void onRefused(Refusal reason, long retryAfterMillis, AdmissionLoad load);

        /** Handles the head of the answer. */
        void onAnswerHead(RelayAnswer answer, AdmissionLoad load);

        /** Handles a piece of the answer's body. */
        void onAnswerBody(byte[] bytes);

        /** Handles that the answer is complete. */
        void onAnswerEnd();

        /** Handles that no valid or complete answer will arrive, although the request may have been executed. */
        void onBroken(boolean linkLost);

        /** Returns a promise that completes once the observer can accept more of the answer. */
        Promise<Void> room();
    }

    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    private final PeerPool pool;
    private final Address address;
    private final boolean reportsReceipt;
    private final Observer observer;
    private FrameLink link;
    private boolean accepted;
    private boolean bodyBegun;
    private boolean bodyEnded;
    private boolean ended;

    /** Creates an attempt; {@code reportsReceipt} tells whether the other node waits to know that the answer came. */
    RelayAttempt(PeerPool pool, Address address, boolean reportsReceipt, Observer observer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.address = Objects.requireNonNull(address, "address");
        this.reportsReceipt = reportsReceipt;
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Acquires a connection and sends the request's head. */
    void begin(RelayOpen open) {
        pool.acquire(address).whenResult(acquired -> begin(acquired, open)).whenException(e -> {
            if (!ended) {
                ended = true;
                pool.closeIdle(address);
                observer.onUnreachable();
            }
        });
    }

    private void begin(FrameLink acquired, RelayOpen open) {
        if (ended) {
            pool.release(address, acquired);
            return;
        }
        link = acquired;
        link.setHandler(this);
        link.send(RelayFrame.newBuilder().setOpen(open).build());
        observer.onHeadSent();
    }

    boolean connected() {
        return link != null;
    }

    /** Returns whether the node has passed the request to its server and the attempt is still open. */
    boolean accepted() {
        return accepted && !ended;
    }

    void body(byte[] bytes) {
        if (!ended && bytes.length > 0) {
            bodyBegun = true;
            link.send(
                    RelayFrame.newBuilder().setData(ByteString.copyFrom(bytes)).build());
        }
    }

    void endBody() {
        if (!ended && !bodyEnded) {
            bodyEnded = true;
            link.send(RelayFrame.newBuilder()
                    .setEnd(RelayEnd.getDefaultInstance())
                    .build());
        }
    }

    Promise<Void> bodyRoom() {
        return link == null || ended ? Promise.complete() : link.whenWritable();
    }

    @Override
    public void onFrame(RelayFrame frame) {
        reportStoreVersions(frame);
        switch (frame.getBodyCase()) {
            case ACCEPTED -> {
                accepted = true;
                observer.onAccepted();
            }
            case REFUSED -> {
                RelayRefused refused = frame.getRefused();
                finish();
                observer.onRefused(
                        RelayFrames.reason(refused),
                        refused.getRetryAfterMillis(),
                        RelayFrames.load(refused.getLoad()));
            }
            case ANSWER -> onAnswerHead(frame.getAnswer());
            case DATA -> observer.onAnswerBody(frame.getData().toByteArray());
            case END -> {
                if (reportsReceipt) {
                    link.send(RelayFrame.newBuilder()
                            .setReceived(RelayReceived.getDefaultInstance())
                            .build());
                }
                finish();
                observer.onAnswerEnd();
            }
            default -> {
                finish();
                observer.onBroken(false);
            }
        }
    }

    /** Passes on the head of an answer, unless its status is none of a final answer. */
    private void onAnswerHead(RelayAnswer answer) {
        if (answer.getStatus() < FIRST_FINAL_STATUS || answer.getStatus() > LAST_STATUS) {
            ended = true;
            link.close();
            observer.onBroken(false);
            return;
        }
        observer.onAnswerHead(answer, RelayFrames.load(answer.getLoad()));
    }

    private void reportStoreVersions(RelayFrame frame) {
        if (frame.hasRefused()) {
            observer.onStoreVersions(
                    RelayFrames.news(frame.getRefused().getLoad().getNews()));
        } else if (frame.hasAnswer()) {
            observer.onStoreVersions(
                    RelayFrames.news(frame.getAnswer().getLoad().getNews()));
        }
    }

    /** Returns the link to the pool unless part of a body was sent; then the link can't be reused and is closed. */
    private void finish() {
        ended = true;
        if (bodyEnded || !bodyBegun) {
            pool.release(address, link);
        } else {
            link.close();
        }
    }

    @Override
    public void onEnd() {
        if (!ended) {
            ended = true;
            pool.closeIdle(address);
            observer.onBroken(true);
        }
    }

    @Override
    public Promise<Void> whenReady() {
        return observer.room();
    }

    /** Abandons the attempt: the other node observes that the link closed and stops the request. */
    @Override
    public void close() {
        if (!ended) {
            ended = true;
            if (link != null) {
                link.close();
            }
        }
    }
}
