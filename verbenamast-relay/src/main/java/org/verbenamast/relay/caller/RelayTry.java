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
final class RelayTry implements FrameLink.FrameHandler, AutoCloseable {

    /** Takes what the other node says. */
    interface Observer {

        /** Is told that the head was sent; what is there of the body is to follow. */
        void begun();

        /** Is told that the node was not reached; nothing was sent. */
        void unreached();

        /** Is told that the request is at the server now. */
        void accepted();

        /** Takes what the other node knows of the tables that every node follows. */
        void heard(StoreVersions news);

        /** Is told that the request has not run and will not. */
        void refused(Refusal reason, long retryAfterMillis, AdmissionLoad load);

        /** Takes the head of the answer. */
        void answer(RelayAnswer answer, AdmissionLoad load);

        /** Takes a piece of the answer's body. */
        void piece(byte[] bytes);

        /** Is told that the answer is complete. */
        void complete();

        /** Is told that no usable or whole answer comes though the request may have run. */
        void broken(boolean linkLost);

        /** Returns a promise that is kept once more of the answer can be taken. */
        Promise<Void> room();
    }

    private final PeerPool pool;
    private final Address address;
    private final Observer observer;
    private FrameLink link;
    private boolean bodyEnded;
    private boolean ended;

    RelayTry(PeerPool pool, Address address, Observer observer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.address = Objects.requireNonNull(address, "address");
        this.observer = Objects.requireNonNull(observer, "observer");
    }

    /** Connects and sends the request's head. */
    void begin(RelayOpen open) {
        pool.acquire(address).whenResult(taken -> begin(taken, open)).whenException(e -> {
            if (!ended) {
                ended = true;
                pool.closeIdle(address);
                observer.unreached();
            }
        });
    }

    private void begin(FrameLink taken, RelayOpen open) {
        if (ended) {
            pool.release(address, taken);
            return;
        }
        link = taken;
        link.setHandler(this);
        link.send(RelayFrame.newBuilder().setOpen(open).build());
        observer.begun();
    }

    boolean begun() {
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
        return link == null || ended ? Promise.complete() : link.whenWritable();
    }

    @Override
    public void onFrame(RelayFrame frame) {
        passNews(frame);
        switch (frame.getBodyCase()) {
            case ACCEPTED -> observer.accepted();
            case REFUSED -> {
                RelayRefused refused = frame.getRefused();
                finish();
                observer.refused(
                        RelayFrames.reason(refused),
                        refused.getRetryAfterMillis(),
                        RelayFrames.load(refused.getLoad()));
            }
            case ANSWER ->
                observer.answer(
                        frame.getAnswer(), RelayFrames.load(frame.getAnswer().getLoad()));
            case DATA -> observer.piece(frame.getData().toByteArray());
            case END -> {
                finish();
                observer.complete();
            }
            default -> {
                finish();
                observer.broken(false);
            }
        }
    }

    private void passNews(RelayFrame frame) {
        if (frame.hasRefused()) {
            observer.heard(RelayFrames.news(frame.getRefused().getLoad().getNews()));
        } else if (frame.hasAnswer()) {
            observer.heard(RelayFrames.news(frame.getAnswer().getLoad().getNews()));
        }
    }

    /** Lets the link carry another exchange where the other side has taken the whole request. */
    private void finish() {
        ended = true;
        if (bodyEnded) {
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
            observer.broken(true);
        }
    }

    @Override
    public Promise<Void> whenReady() {
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
