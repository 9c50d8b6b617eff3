package org.verbenamast.relay.caller;

import java.io.ByteArrayOutputStream;
import java.util.Objects;

import io.activej.promise.Promise;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.LogField;
import org.verbenamast.relay.telemetry.RequestEnd;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.relay.RelayFrames;

/** A caller's request from its head to the end of its answer. */
final class CallerExchange implements RelayTry.Observer {

    /** Bytes of a request's body that are kept so that it can be sent again. */
    private static final int MOST_KEPT = 64 * 1024;
    /** Bytes of an answer that are kept before its beginning is passed on; a cut before that can be made good. */
    private static final int MOST_HELD = 192 * 1024;

    private static final int SERVER_ERROR = 500;

    private final EntryRequest request;
    private final RelayOpen head;
    private final CallerConnection connection;
    private final RelayCore core;
    private final RelayLoop loop;
    private final PeerPool pool;
    private final RequestLog log;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private RelayTry current;
    private RelayAnswer answer;
    private AdmissionLoad load;
    private boolean replayable = true;
    private boolean accepted;
    private boolean bodyEnded;
    private boolean answerEnded;
    private boolean told;
    private boolean delivering;
    private int asked;
    private String peer = "";

    CallerExchange(
            EntryRequest request,
            RelayOpen head,
            CallerConnection connection,
            RelayCore core,
            RelayLoop loop,
            PeerPool pool,
            RequestLog log) {
        this.request = Objects.requireNonNull(request, "request");
        this.head = Objects.requireNonNull(head, "head");
        this.connection = Objects.requireNonNull(connection, "connection");
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = Objects.requireNonNull(log, "log");
    }

    EntryRequest request() {
        return request;
    }

    void open() {
        loop.run((now, effects) -> core.entry().open(request, now, effects));
    }

    /** Takes a piece of the request's body. */
    void body(byte[] bytes) {
        if (replayable && (!accepted || kept.size() + bytes.length <= MOST_KEPT)) {
            kept.writeBytes(bytes);
        } else {
            replayable = false;
        }
        if (current != null && current.begun()) {
            current.body(bytes);
        }
    }

    void endBody() {
        bodyEnded = true;
        if (current != null && current.begun()) {
            current.endBody();
        }
    }

    /** Returns a promise that is kept once more of the request's body can be taken. */
    Promise<Void> bodyRoom() {
        if (!accepted && kept.size() >= MOST_KEPT) {
            return connection.whenAccepted();
        }
        return current == null ? Promise.complete() : current.bodyRoom();
    }

    void callerGone() {
        loop.run((now, effects) -> core.entry().callerGone(request.id(), now, effects));
    }

    /** Carries out what the entry decided. */
    void run(EntryEffect effect) {
        if (effect instanceof EntryEffect.OpenTry open) {
            openTry(open);
        } else if (effect instanceof EntryEffect.Withdraw) {
            withdraw();
        } else if (effect instanceof EntryEffect.Deliver) {
            deliver();
        } else if (effect instanceof EntryEffect.Refuse refuse) {
            log("refused", refuse.reason().name(), refuse.retryAfterMillis());
            connection.refuse(refuse.reason(), refuse.retryAfterMillis());
        } else if (effect instanceof EntryEffect.Fail fail) {
            log("failed", fail.timedOut() ? "time over" : "connection lost or answer unusable", 0);
            connection.fail(fail.timedOut());
        } else if (effect instanceof EntryEffect.Cut) {
            log("cut", "answer broken off", 0);
            connection.cut();
        }
    }

    private void log(String outcome, String reason, long retryAfterMillis) {
        log.recordEnd(
                new RequestEnd(
                        outcome, reason, request.attemptId(), request.route().name(), elapsed()),
                () -> inputs(retryAfterMillis));
    }

    private long elapsed() {
        return RelayLoop.now() - request.arrivedAt();
    }

    private Object[] inputs(long retryAfterMillis) {
        return new Object[] {
            LogField.SERVICE.of(request.service()),
            LogField.KEY.of(request.key().isPresent() ? request.key().getAsInt() : ""),
            LogField.ALLOWED.of((request.deadlineAt() - request.arrivedAt()) / Timing.NANOS_PER_MILLI),
            LogField.RETRY_AFTER.of(retryAfterMillis),
            LogField.MANIFEST.of(core.manifest().version()),
            LogField.ASKED.of(asked),
            LogField.PEER.of(peer)
        };
    }

    private void openTry(EntryEffect.OpenTry open) {
        asked++;
        peer = open.target().node();
        held.reset();
        answer = null;
        answerEnded = false;
        told = false;
        accepted = false;
        long now = RelayLoop.now();
        StoreVersions news = core.follow().news(now);
        RelayOpen.Builder frame = RelayFrames.open(request, open.target(), open.lastChance(), news, now)
                .setMethod(head.getMethod())
                .setTarget(head.getTarget())
                .setHost(head.getHost())
                .addAllFields(head.getFieldsList())
                .setCallerService(head.getCallerService())
                .setBodyLength(head.getBodyLength());
        current = new RelayTry(pool, open.target().peer(), this);
        current.begin(frame.build());
    }

    private void withdraw() {
        if (current != null) {
            current.close();
            current = null;
        }
    }

    @Override
    public void begun() {
        current.body(kept.toByteArray());
        if (bodyEnded) {
            current.endBody();
        }
    }

    @Override
    public void unreached() {
        loop.run((now, effects) -> core.entry().unreached(request.id(), now, effects));
    }

    @Override
    public void accepted() {
        accepted = true;
        connection.accepted();
    }

    @Override
    public void heard(StoreVersions news) {
        loop.onStoreVersions(news);
    }

    @Override
    public void refused(Refusal reason, long retryAfterMillis, AdmissionLoad told) {
        loop.run((now, effects) -> core.entry().refused(request.id(), reason, retryAfterMillis, told, now, effects));
    }

    @Override
    public void answer(RelayAnswer head, AdmissionLoad load) {
        this.answer = head;
        this.load = load;
    }

    @Override
    public void piece(byte[] bytes) {
        if (delivering) {
            connection.piece(bytes);
            return;
        }
        held.writeBytes(bytes);
        if (held.size() >= MOST_HELD) {
            tell();
        }
    }

    private void tell() {
        if (!told) {
            told = true;
            boolean failed = answer.getStatus() >= SERVER_ERROR;
            loop.run((now, effects) -> core.entry().answered(request.id(), failed, replayable, load, now, effects));
        }
    }

    @Override
    public void complete() {
        if (answer == null) {
            broken(false);
            return;
        }
        answerEnded = true;
        if (delivering) {
            connection.endAnswer();
        } else {
            tell();
        }
    }

    @Override
    public void broken(boolean linkLost) {
        loop.run((now, effects) -> core.entry().broken(request.id(), linkLost, replayable, now, effects));
    }

    private void deliver() {
        delivering = true;
        connection.beginAnswer(answer, answerEnded ? held.size() : -1);
        connection.piece(held.toByteArray());
        held.reset();
        if (answerEnded) {
            connection.endAnswer();
        }
    }

    void delivered() {
        log.recordEnd(RequestEnd.answered(request.attemptId(), request.route().name(), elapsed()), () -> inputs(0));
        loop.run((now, effects) -> core.entry().delivered(request.id(), now, effects));
    }

    @Override
    public Promise<Void> room() {
        return delivering ? connection.answerRoom() : Promise.complete();
    }
}
