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
import org.verbenamast.wire.generated.RelayRefused;
import org.verbenamast.wire.relay.RelayFrames;

/** One exchange with the node beside a server, on behalf of a caller's request. */
final class RelayAttempt implements FrameLink.Taker, AutoCloseable {

    /** Takes what the other node says. */
    interface Observer {

        /** Is told that the head was sent; what is there of the body is to follow. */
        void onHeadSent();

        /** Is told that the node was not reached; nothing was sent. */
        void onUnreachable();

        /** Is told that the request is at the server now. */
        void onAccepted();

        /** Takes what the other node knows of the tables that every node follows. */
        void onStoreVersions(StoreVersions news);

        /** Is told that the request has not run and will not. */
        void onRefused(Refusal reason, long retryAfterMillis, AdmissionLoad load);

        /** Takes the head of the answer. */
        void onAnswerHead(RelayAnswer answer, AdmissionLoad load);

        /** Takes a piece of the answer's body. */
        void onAnswerBody(byte[] bytes);

        /** Is told that the answer is complete. */
        void onAnswerEnd();

        /** Is told that no usable or whole answer comes though the request may have run. */
        void onBroken(boolean linkLost);

        /** Returns a promise that is kept once more of the answer can be taken. */
        Promise<Void> room();
    }

    private final PeerPool pool;
    private final Address address;
    private final Observer observer;
    private FrameLink link;
    private boolean bodyEnded;
    private boolean ended;

    RelayAttempt(PeerPool pool, Address address, Observer observer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.address = Objects.requireNonNull(address, "address");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Connects and sends the request's head. */
    void begin(RelayOpen open) {
        pool.take(address).whenResult(taken -> begin(taken, open)).whenException(e -> {
            if (!ended) {
                ended = true;
                pool.drop(address);
                observer.onUnreachable();
            }
        });
    }

    private void begin(FrameLink taken, RelayOpen open) {
        if (ended) {
            pool.giveBack(address, taken);
            return;
        }
        link = taken;
        link.use(this);
        link.send(RelayFrame.newBuilder().setOpen(open).build());
        observer.onHeadSent();
    }

    boolean connected() {
        return link != null;
    }

    void body(byte[] bytes) {
        if (!ended && bytes.length > 0) {
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
        return link == null || ended ? Promise.complete() : link.room();
    }

    @Override
    public void frame(RelayFrame frame) {
        reportStoreVersions(frame);
        switch (frame.getBodyCase()) {
            case ACCEPTED -> observer.onAccepted();
            case REFUSED -> {
                RelayRefused refused = frame.getRefused();
                finish();
                observer.onRefused(
                        RelayFrames.reason(refused),
                        refused.getRetryAfterMillis(),
                        RelayFrames.load(refused.getLoad()));
            }
            case ANSWER ->
                observer.onAnswerHead(
                        frame.getAnswer(), RelayFrames.load(frame.getAnswer().getLoad()));
            case DATA -> observer.onAnswerBody(frame.getData().toByteArray());
            case END -> {
                finish();
                observer.onAnswerEnd();
            }
            default -> {
                finish();
                observer.onBroken(false);
            }
        }
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

    /** Lets the link carry another exchange where the other side has taken the whole request. */
    private void finish() {
        ended = true;
        if (bodyEnded) {
            pool.giveBack(address, link);
        } else {
            link.close();
        }
    }

    @Override
    public void ended() {
        if (!ended) {
            ended = true;
            pool.drop(address);
            observer.onBroken(true);
        }
    }

    @Override
    public Promise<Void> room() {
        return observer.room();
    }

    /** Gives up the exchange: the other node sees the link close and stops the request. */
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
