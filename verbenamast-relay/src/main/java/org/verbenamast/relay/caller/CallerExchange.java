package org.verbenamast.relay.caller;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.activej.promise.Promise;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.verbenamast.core.entry.EntryEffect;
import org.verbenamast.core.entry.EntryRequest;
import org.verbenamast.core.gate.crash.FingerprintDigest;
import org.verbenamast.core.node.Timing;
import org.verbenamast.core.relay.RelayCore;
import org.verbenamast.core.tenant.CallerIdentity;
import org.verbenamast.core.tenant.CapDecision;
import org.verbenamast.core.tenant.KeyVerdict;
import org.verbenamast.core.watch.StoreVersions;
import org.verbenamast.platform.RequestFields;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.peer.PeerPool;
import org.verbenamast.relay.telemetry.LogField;
import org.verbenamast.relay.telemetry.RequestEnd;
import org.verbenamast.relay.telemetry.RequestLog;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.relay.RelayFrames;

/** A caller's request, from its head to the end of its answer, across all attempts. */
final class CallerExchange {

    /** Size up to which a request's body is buffered for further attempts, in bytes. */
    private static final int MAX_REPLAY_BYTES = 64 * 1024;
    /** The number of no attempt. */
    private static final int NO_ATTEMPT = 0;

    private static final Logger LOG = LoggerFactory.getLogger(CallerExchange.class);

    private final EntryRequest request;
    private final CallerIdentity identity;
    private final RelayOpen head;
    private final CallerReply reply;
    private final RelayCore core;
    private final RelayLoop loop;
    private final PeerPool pool;
    private final RequestLog log;
    private final ByteArrayOutputStream replayBuffer = new ByteArrayOutputStream();
    /** The open attempts, of which there are two while a hedge is open. */
    private final List<ExchangeAttempt> openAttempts = new ArrayList<>();

    private final FingerprintDigest content;
    private boolean admitted;
    private long tokenExpiresAt;
    private boolean reachedServer;
    private boolean opened;
    private boolean replayable = true;
    private boolean bodyEnded;
    private int attempts;
    private String peer = "";

    CallerExchange(
            EntryRequest request,
            CallerIdentity identity,
            RelayOpen head,
            CallerReply reply,
            RelayCore core,
            RelayLoop loop,
            PeerPool pool,
            RequestLog log) {
        this.request = Objects.requireNonNull(request, "request");
        this.identity = Objects.requireNonNull(identity, "identity");
        this.head = Objects.requireNonNull(head, "head");
        this.reply = Objects.requireNonNull(reply, "reply");
        this.core = Objects.requireNonNull(core, "core");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.log = Objects.requireNonNull(log, "log");
        this.content = new FingerprintDigest(head.getCallerService(), head.getTarget());
    }

    long id() {
        return request.id();
    }

    CallerReply reply() {
        return reply;
    }

    EntryRequest request() {
        return request;
    }

    /** Has the request decided on as soon as it has a token of its tenant's cap, if there is one. */
    void begin() {
        if (identity.tenant().isEmpty()) {
            admit(0);
            return;
        }
        loop.run((now, effects) -> {
            CapDecision decision =
                    core.caps().admit(request.id(), identity.tenant().get(), now, effects);
            switch (decision.kind()) {
                case ADMITTED -> admit(decision.tokenExpiresAt());
                case REFUSED -> refuseBeyondCap(decision.retryAfterMillis());
                default -> LOG.trace("request {} waits for a token", request.id());
            }
        });
    }

    /** Lets the request go on; its token is valid until a time. */
    void admit(long expiresAt) {
        admitted = true;
        tokenExpiresAt = expiresAt;
        open();
    }

    /** Refuses the request, which lies beyond the cap of its tenant. */
    void refuseBeyondCap(long retryAfterMillis) {
        logEnd("refused", "BEYOND_CAP", retryAfterMillis);
        reply.answer(HttpResponseStatus.TOO_MANY_REQUESTS, RequestFields.retryAfter(retryAfterMillis));
    }

    /** Has the request decided on, once its body is known if that matters. */
    void open() {
        if (!admitted) {
            return;
        }
        boolean bodyMatters =
                !bodyEnded && !content.isFull() && core.crashReports().mayBeSuspect(content.fingerprint());
        if (!opened && !bodyMatters) {
            opened = true;
            loop.run((now, effects) -> core.entry().onCallerRequest(request, content.fingerprint(), now, effects));
        }
    }

    /** Buffers a piece of the request's body if it may be replayed, and sends it to the open attempts. */
    void body(byte[] bytes) {
        content.update(bytes);
        boolean fits = !accepted() || replayBuffer.size() + bytes.length <= MAX_REPLAY_BYTES;
        if (replayable && fits) {
            replayBuffer.writeBytes(bytes);
        } else if (replayable) {
            replayable = false;
            loop.run((now, effects) -> core.entry().onBodyDropped(request.id(), now, effects));
        }
        if (takesBody()) {
            openAttempts.forEach(attempt -> attempt.body(bytes));
        }
        open();
    }

    /** Returns whether a server takes the body; until then, and between attempts, no more is read than can be kept. */
    private boolean accepted() {
        return openAttempts.stream().anyMatch(ExchangeAttempt::accepted);
    }

    void endBody() {
        bodyEnded = true;
        open();
        if (takesBody()) {
            openAttempts.forEach(ExchangeAttempt::endBody);
        }
    }

    /** Returns whether the body is sent now; a large one would be sent in vain to a node that refuses the request. */
    private boolean takesBody() {
        return accepted() || !request.route().kind().hasLargeBodies();
    }

    /** Returns a promise that completes once more of the request's body can be accepted. */
    Promise<Void> bodyRoom() {
        if (!accepted() && replayBuffer.size() >= MAX_REPLAY_BYTES) {
            return reply.whenAccepted();
        }
        return openAttempts.isEmpty() ? Promise.complete() : openAttempts.get(0).bodyRoom();
    }

    /**
     * Handles a new manifest. If the caller's key was withdrawn, a request that still waits ends; one that a server has
     * goes on, but is not sent again.
     */
    void onManifestChanged() {
        if (identity.holdsUnder(core.manifest().tenants())) {
            return;
        }
        if (accepted() || openAttempts.stream().anyMatch(ExchangeAttempt::answered)) {
            replayable = false;
            loop.run((now, effects) -> core.entry().onBodyDropped(request.id(), now, effects));
            return;
        }
        keepOnly(NO_ATTEMPT);
        onCallerGone();
        logEnd("refused", KeyVerdict.KEY_WITHDRAWN.name(), 0);
        reply.answer(HttpResponseStatus.UNAUTHORIZED, "");
    }

    /** Returns what is held of the request's body and of an answer whose delivery has not begun, in bytes. */
    int heldBytes() {
        return replayBuffer.size()
                + openAttempts.stream().mapToInt(ExchangeAttempt::heldBytes).sum();
    }

    void onCallerGone() {
        loop.run((now, effects) -> {
            core.caps().forget(request.id());
            core.entry().onCallerGone(request.id(), now, effects);
        });
    }

    /** Executes an effect of the entry node's decision. */
    void run(EntryEffect effect) {
        if (effect instanceof EntryEffect.OpenAttempt open) {
            openAttempt(open);
        } else if (effect instanceof EntryEffect.Withdraw) {
            keepOnly(NO_ATTEMPT);
        } else if (effect instanceof EntryEffect.Keep keep) {
            keepOnly(keep.number());
        } else if (effect instanceof EntryEffect.Deliver) {
            ExchangeAttempt answered = openAttempts.get(0);
            peer = answered.peer();
            answered.deliver();
        } else if (effect instanceof EntryEffect.Refuse refuse) {
            core.caps().giveBack(identity.tenantName(), tokenExpiresAt, RelayLoop.now());
            logEnd("refused", refuse.reason().name(), refuse.retryAfterMillis());
            reply.refuse(refuse.retryAfterMillis());
        } else if (effect instanceof EntryEffect.Fail fail) {
            logEnd("failed", fail.timedOut() ? "time over" : "connection lost or answer unusable", 0);
            reply.fail(fail.timedOut());
        } else if (effect instanceof EntryEffect.AbortAnswer) {
            logEnd("cut", "answer broken off", 0);
            reply.cut(this);
        }
    }

    private void logEnd(String outcome, String reason, long retryAfterMillis) {
        log.recordEnd(
                new RequestEnd(
                        outcome, reason, request.attemptId(), request.route().name(), elapsed()),
                () -> logFields(retryAfterMillis));
    }

    private long elapsed() {
        return RelayLoop.now() - request.arrivedAt();
    }

    private Object[] logFields(long retryAfterMillis) {
        return new Object[] {
            LogField.SERVICE.of(request.service()),
            LogField.TENANT.of(identity.tenantName()),
            LogField.KEY.of(request.key().isPresent() ? request.key().getAsInt() : ""),
            LogField.ALLOWED.of((request.deadlineAt() - request.arrivedAt()) / Timing.NANOS_PER_MILLI),
            LogField.RETRY_AFTER.of(retryAfterMillis),
            LogField.MANIFEST.of(core.manifest().version()),
            LogField.ASKED.of(attempts),
            LogField.PEER.of(peer)
        };
    }

    private void openAttempt(EntryEffect.OpenAttempt open) {
        attempts++;
        if (reachedServer) {
            core.caps().charge(identity.tenantName(), RelayLoop.now());
        }
        peer = open.target().node();
        long now = RelayLoop.now();
        StoreVersions versions = core.follow().versions(now);
        RelayOpen.Builder frame = RelayFrames.open(request, open.target(), open.lastChance(), versions, now)
                .setMethod(head.getMethod())
                .setTarget(head.getTarget())
                .setHost(head.getHost())
                .addAllFields(head.getFieldsList())
                .setCallerService(head.getCallerService())
                .setTenant(head.getTenant())
                .setPriority(head.getPriority())
                .setBodyLength(head.getBodyLength())
                .setHedged(open.hedge());
        ExchangeAttempt attempt = new ExchangeAttempt(
                this, open, core, loop, pool, request.route().kind().hasLargeAnswers());
        openAttempts.add(attempt);
        attempt.begin(frame.build());
    }

    /** Withdraws all open attempts but the one with a given number. */
    private void keepOnly(int number) {
        openAttempts.stream().filter(attempt -> attempt.number() != number).forEach(ExchangeAttempt::close);
        openAttempts.removeIf(attempt -> attempt.number() != number);
    }

    /** Handles that an attempt has ended without an answer. */
    void forget(ExchangeAttempt attempt) {
        openAttempts.remove(attempt);
    }

    void onHeadSent(ExchangeAttempt attempt) {
        if (!request.route().kind().hasLargeBodies()) {
            sendBody(attempt);
        }
    }

    private void sendBody(ExchangeAttempt attempt) {
        attempt.body(replayBuffer.toByteArray());
        if (bodyEnded) {
            attempt.endBody();
        }
    }

    void onAccepted(ExchangeAttempt attempt) {
        if (request.route().kind().hasLargeBodies()) {
            sendBody(attempt);
        }
        reachedServer = true;
        reply.onAccepted();
    }

    /** Handles that all of the answer was sent. */
    void onDelivered() {
        log.recordEnd(RequestEnd.answered(request.attemptId(), request.route().name(), elapsed()), () -> logFields(0));
        core.crashReports().onAnswered(content.fingerprint(), RelayLoop.now());
        loop.run((now, effects) -> core.entry().onDelivered(request.id(), now, effects));
    }
}
