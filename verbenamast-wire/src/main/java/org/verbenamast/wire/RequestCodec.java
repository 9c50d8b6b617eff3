package org.verbenamast.wire;

import java.util.List;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.ServiceName;
import org.verbenamast.core.request.Body;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.Header;
import org.verbenamast.core.request.Method;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;
import org.verbenamast.wire.generated.Answered;
import org.verbenamast.wire.generated.Ended;
import org.verbenamast.wire.generated.Forward;

/** Maps requests and their outcomes to protobuf and back. */
final class RequestCodec {

    private RequestCodec() {}

    static Forward encode(PeerMessage.Forward forward) {
        CallerRequest request = forward.request();
        return Forward.newBuilder()
                .setId(ModelCodec.encode(forward.id()))
                .setService(request.service().value())
                .setKey(request.key())
                .setMethod(request.method().name())
                .setPath(request.path())
                .addAllHeaders(encode(request.headers()))
                .setBody(encode(request.body()))
                .setIdempotencyKey(request.idempotencyKey())
                .setTraceParent(request.traceParent())
                .setRemainingNanos(forward.remainingNanos())
                .setAttempt(forward.attempt())
                .build();
    }

    static PeerMessage.Forward decode(Forward forward) {
        CallerRequest request = new CallerRequest(
                new ServiceName(forward.getService()),
                forward.getKey(),
                Method.valueOf(forward.getMethod()),
                forward.getPath(),
                decode(forward.getHeadersList()),
                new Body(forward.getBody().toByteArray()),
                forward.getIdempotencyKey(),
                forward.getTraceParent());
        return new PeerMessage.Forward(
                ModelCodec.decode(forward.getId()), forward.getAttempt(), request, forward.getRemainingNanos());
    }

    static Ended encode(PeerMessage.Ended ended) {
        Ended.Builder builder =
                Ended.newBuilder().setId(ModelCodec.encode(ended.id())).setAttempt(ended.attempt());
        if (ended.outcome() instanceof RequestOutcome.Answered answered) {
            builder.setAnswered(Answered.newBuilder()
                    .setStatus(answered.status())
                    .addAllHeaders(encode(answered.headers()))
                    .setBody(encode(answered.body())));
        } else if (ended.outcome() instanceof RequestOutcome.NotRun notRun) {
            builder.setNotRun(notRun.reason().name());
        } else if (ended.outcome() instanceof RequestOutcome.Unknown unknown) {
            builder.setUnknown(unknown.reason().name());
        }
        return builder.build();
    }

    static PeerMessage.Ended decode(Ended ended) throws WireException {
        RequestOutcome outcome =
                switch (ended.getOutcomeCase()) {
                    case ANSWERED ->
                        new RequestOutcome.Answered(
                                ended.getAnswered().getStatus(),
                                decode(ended.getAnswered().getHeadersList()),
                                new Body(ended.getAnswered().getBody().toByteArray()));
                    case NOT_RUN -> new RequestOutcome.NotRun(NotRunReason.valueOf(ended.getNotRun()));
                    case UNKNOWN -> new RequestOutcome.Unknown(UnknownReason.valueOf(ended.getUnknown()));
                    case OUTCOME_NOT_SET -> throw WireException.shouldHaveKnownKind();
                };
        return new PeerMessage.Ended(ModelCodec.decode(ended.getId()), ended.getAttempt(), outcome);
    }

    private static ByteString encode(Body body) {
        return UnsafeByteOperations.unsafeWrap(body.bytes());
    }

    private static List<org.verbenamast.wire.generated.Header> encode(List<Header> headers) {
        return PeerCodec.map(headers, header -> org.verbenamast.wire.generated.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build());
    }

    private static List<Header> decode(List<org.verbenamast.wire.generated.Header> headers) {
        return PeerCodec.map(headers, header -> new Header(header.getName(), header.getValue()));
    }
}
