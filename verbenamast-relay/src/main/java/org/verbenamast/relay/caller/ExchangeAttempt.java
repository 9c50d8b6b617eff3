package org.verbenamast.relay.caller;

import java.io.ByteArrayOutputStream;
import java.util.Objects;

import io.activej.promise.Promise;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayOpen;

/** One attempt of a caller's request, with its answer as far as that is not delivered. */
final class ExchangeAttempt implements RelayAttempt.Observer, AutoCloseable {

    /** Size up to which an answer is buffered before delivery starts, in bytes; until then a retry can replace it. */
    private static final int MAX_BUFFERED_ANSWER_BYTES = 192 * 1024;

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final CallerExchange exchange;
    private final int number;
    private final String peer;
    private final RelayCore core;
    private final RelayLoop loop;
    private final RelayAttempt attempt;
    private final long openedAt = RelayLoop.now();
    private final ByteArrayOutputStream answerBuffer = new ByteArrayOutputStream();
    private RelayAnswer answer;
    private AdmissionLoad load;
    private boolean answerEnded;
    private boolean answerReported;
    private boolean delivering;

    ExchangeAttempt(
            CallerExchange exchange,
            EntryEffect.OpenAttempt open,
            RelayCore core,
            RelayLoop loop,
            PeerPool pool,
            boolean reportsReceipt) {
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.number = open.number();
        this.peer = open.target().node();
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.attempt = new RelayAttempt(pool, open.target().peer(), reportsReceipt, this);
    }

    void begin(RelayOpen open) {
        attempt.begin(open);
    }

    int number() {
        return number;
    }

    String peer() {
        return peer;
    }

    /** Returns whether the node has passed the request to its server and the attempt is still open. */
    boolean accepted() {
        return attempt.accepted();
    }

    /** Returns whether the head of an answer has arrived. */
    boolean answered() {
        return answer != null;
    }

    /** Returns what is held of an answer whose delivery has not begun, in bytes. */
    int heldBytes() {
        return answerBuffer.size();
    }

    void body(byte[] bytes) {
        if (attempt.connected()) {
            attempt.body(bytes);
        }
    }

    void endBody() {
        if (attempt.connected()) {
            attempt.endBody();
        }
    }

    Promise<Void> bodyRoom() {
        return attempt.bodyRoom();
    }

    @Override
    public void onHeadSent() {
        exchange.onHeadSent(this);
    }

    @Override
    public void onAccepted() {
        exchange.onAccepted(this);
    }

    @Override
    public void onUnreachable() {
        exchange.forget(this);
        loop.run((now, effects) -> core.entry().onUnreached(exchange.id(), number, now, effects));
    }

    @Override
    public void onStoreVersions(StoreVersions versions) {
        loop.onAnsweredStoreVersions(versions, openedAt);
    }

    @Override
    public void onRefused(Refusal reason, long retryAfterMillis, AdmissionLoad reported) {
        exchange.forget(this);
        loop.run((now, effects) ->
                core.entry().onRefused(exchange.id(), number, reason, retryAfterMillis, reported, now, effects));
    }

    @Override
    public void onAnswerHead(RelayAnswer head, AdmissionLoad reported) {
        this.answer = head;
        this.load = reported;
    }

    @Override
    public void onAnswerBody(byte[] bytes) {
        if (delivering) {
            exchange.reply().sendAnswerBody(bytes);
            return;
        }
        answerBuffer.writeBytes(bytes);
        exchange.reply().onHeldChanged();
        if (answerBuffer.size() >= MAX_BUFFERED_ANSWER_BYTES) {
            reportAnswer();
        }
    }

    private void reportAnswer() {
        if (!answerReported) {
            answerReported = true;
            boolean failed = answer.getStatus() >= FIRST_SERVER_ERROR_STATUS;
            loop.run((now, effects) -> core.entry().onAnswer(exchange.id(), number, failed, load, now, effects));
        }
    }

    @Override
    public void onAnswerEnd() {
        if (answer == null) {
            onBroken(false);
            return;
        }
        answerEnded = true;
        if (delivering) {
            exchange.reply().endAnswer();
        } else {
            reportAnswer();
        }
    }

    @Override
    public void onBroken(boolean linkLost) {
        if (!delivering) {
            exchange.forget(this);
        }
        loop.run((now, effects) -> core.entry().onBroken(exchange.id(), number, linkLost, now, effects));
    }

    /** Starts to send the answer to the caller. */
    void deliver() {
        delivering = true;
        exchange.reply().beginAnswer(answer, answerEnded ? answerBuffer.size() : -1);
        exchange.reply().sendAnswerBody(answerBuffer.toByteArray());
        answerBuffer.reset();
        if (answerEnded) {
            exchange.reply().endAnswer();
        }
    }

    @Override
    public Promise<Void> room() {
        return exchange.reply().room(answerBuffer.size());
    }

    /** Abandons the attempt: the other node observes that the link closed and stops the request. */
    @Override
    public void close() {
        attempt.close();
    }
}
