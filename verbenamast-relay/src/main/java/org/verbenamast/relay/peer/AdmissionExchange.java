package org.verbenamast.relay.peer;

import java.util.Objects;

import com.google.protobuf.ByteString;
import io.activej.promise.Promise;
import io.netty.handler.codec.http.HttpResponse;
import org.verbenamast.core.admission.AdmissionLoad;
import org.verbenamast.core.admission.AdmissionRequest;
import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.admission.ServerOutcome;
import org.verbenamast.core.gate.crash.FingerprintDigest;
import org.verbenamast.core.model.ServerLoad;
import org.verbenamast.core.node.Timing;
import org.verbenamast.relay.RelayLoop;
import org.verbenamast.relay.backend.BackendCall;
import org.verbenamast.relay.backend.BackendPool;
import org.verbenamast.relay.net.ClientRegister;
import org.verbenamast.relay.net.EndToEndFields;
import org.verbenamast.relay.telemetry.LogField;
import org.verbenamast.relay.telemetry.RequestEnd;
import org.verbenamast.wire.generated.RelayAccepted;
import org.verbenamast.wire.generated.RelayAnswer;
import org.verbenamast.wire.generated.RelayEnd;
import org.verbenamast.wire.generated.RelayFailed;
import org.verbenamast.wire.generated.RelayFrame;
import org.verbenamast.wire.generated.RelayLoad;
import org.verbenamast.wire.generated.RelayOpen;
import org.verbenamast.wire.relay.RelayFrames;

/** One request that an entry node, maybe this node itself, sends to the backend server beside this node. */
final class AdmissionExchange implements BackendCall.Observer {

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    /** Bytes of the objects that a field becomes, here and in the request to the server. */
    private static final int FIELD_WEIGHT = 400;

    private final FrameLink link;
    private final ClientRegister.Client client;
    private final AdmissionRequest request;
    private final RelayOpen open;
    private final BackendCall call;
    private final FingerprintDigest content;
    private final GateServer server;
    private boolean ended;
    private ServerOutcome outcome = ServerOutcome.ANSWERED;

    AdmissionExchange(
            FrameLink link,
            ClientRegister.Client client,
            AdmissionRequest request,
            RelayOpen open,
            BackendPool pool,
            GateServer server) {
        this.client = Objects.requireNonNull(client, "client");
        this.link = Objects.requireNonNull(link, "link");
        this.request = Objects.requireNonNull(request, "request");
        this.open = Objects.requireNonNull(open, "open");
        this.server = Objects.requireNonNull(server, "server");
        this.call = new BackendCall(pool, request, open, this);
        this.content = new FingerprintDigest(open.getCallerService(), open.getTarget());
    }

    long id() {
        return request.id();
    }

    /** Returns what identifies the request, as far as its body has arrived. */
    FingerprintDigest content() {
        return content;
    }

    /** Returns the client for which the request is held. */
    ClientRegister.Client client() {
        return client;
    }

    /** Returns what is held for the request, in bytes. */
    long heldBytes() {
        return ended ? 0 : weightOf(open) + call.heldBytes();
    }

    /** Returns what the head of a request takes, with the objects that its fields become, in bytes. */
    static long weightOf(RelayOpen head) {
        return head.getSerializedSize() + (long) head.getFieldsCount() * FIELD_WEIGHT;
    }

    void body(byte[] bytes) {
        content.update(bytes);
        call.body(bytes);
    }

    void endBody() {
        call.endBody();
    }

    Promise<Void> whenBodyWritable() {
        return call.bodyRoom();
    }

    /** Accepts the request and forwards it to the backend server. */
    void dispatch() {
        link.send(RelayFrame.newBuilder()
                .setAccepted(RelayAccepted.getDefaultInstance())
                .build());
        call.begin();
    }

    /** Reports to the sender that the request was not executed and will not be. */
    void refuse(Refusal reason, long retryAfterMillis) {
        log("refused", reason.name(), retryAfterMillis);
        call.close();
        finish(RelayFrames.refused(reason, retryAfterMillis, server.load(), server.storeVersions()));
    }

    private void log(String outcome, String reason, long retryAfterMillis) {
        server.log()
                .recordEnd(
                        new RequestEnd(outcome, reason, request.attemptId(), request.route(), elapsedNanos()),
                        () -> logFields(retryAfterMillis));
    }

    private long elapsedNanos() {
        return RelayLoop.now() - request.arrivedAt();
    }

    private Object[] logFields(long retryAfterMillis) {
        AdmissionLoad load = server.load();
        return new Object[] {
            LogField.SERVER.of(request.incarnation()),
            LogField.KEY.of(request.key().isPresent() ? request.key().getAsInt() : ""),
            LogField.ALLOWED.of((request.deadlineAt() - request.arrivedAt()) / Timing.NANOS_PER_MILLI),
            LogField.RETRY_AFTER.of(retryAfterMillis),
            LogField.RUNNING.of(load.running()),
            LogField.QUEUED.of(load.queued()),
            LogField.SERVICE_TIME.of(load.serviceMillis()),
            LogField.TRANSFER_TIME.of(server.transferMillis())
        };
    }

    /** Stops the request at the backend server and closes the link to the sender. */
    void abandon() {
        call.close();
        if (!ended) {
            ended = true;
            link.close();
        }
    }

    /** Stops the request at the backend server, as its deadline has passed, and reports a failure to the sender. */
    void overdue() {
        call.close();
        log("overdue", "time over", 0);
        fail();
    }

    private void fail() {
        finish(RelayFrame.newBuilder()
                .setFailed(RelayFailed.newBuilder().setLoad(load()))
                .build());
    }

    private RelayLoad load() {
        return RelayFrames.load(server.load(), server.storeVersions());
    }

    private void finish(RelayFrame last) {
        if (!ended) {
            ended = true;
            link.send(last);
            server.exchangeEnded(this);
        }
    }

    @Override
    public void onUnsent() {
        server.serverUnreachable();
        server.requestFinished(request.id(), ServerOutcome.UNSENT);
        refuse(Refusal.UNREACHABLE, 0);
    }

    @Override
    public void onNotRun(boolean misdirected) {
        server.requestFinished(request.id(), misdirected ? ServerOutcome.UNSENT : ServerOutcome.REJECTED);
        if (misdirected) {
            refuse(Refusal.MISDIRECTED, 0);
        } else {
            refuse(Refusal.SHED, server.rejectedRetryMillis());
        }
    }

    @Override
    public void onServerLoad(ServerLoad load) {
        server.serverLoad(load);
    }

    @Override
    public void onAnswerHead(HttpResponse head, long length) {
        if (head.status().code() >= FIRST_SERVER_ERROR_STATUS) {
            outcome = ServerOutcome.FAILED;
        }
        RelayAnswer.Builder answer = RelayAnswer.newBuilder()
                .setStatus(head.status().code())
                .setBodyLength(length)
                .addAllFields(EndToEndFields.of(head.headers(), name -> false))
                .setLoad(load());
        link.send(RelayFrame.newBuilder().setAnswer(answer).build());
    }

    @Override
    public void onAnswerBody(byte[] bytes) {
        link.send(RelayFrame.newBuilder().setData(ByteString.copyFrom(bytes)).build());
    }

    @Override
    public void onAnswerEnd() {
        server.requestAnswered(request.id());
        server.requestFinished(request.id(), outcome);
        server.log()
                .recordEnd(
                        RequestEnd.answered(request.attemptId(), request.route(), elapsedNanos()), () -> logFields(0));
        finish(RelayFrame.newBuilder().setEnd(RelayEnd.getDefaultInstance()).build());
    }

    @Override
    public void onBroken() {
        server.connectionLost(request);
        server.requestFinished(request.id(), ServerOutcome.BROKEN);
        log("broken", "connection to the server lost or answer unusable", 0);
        fail();
    }

    @Override
    public Promise<Void> room() {
        return link.whenWritable();
    }
}
