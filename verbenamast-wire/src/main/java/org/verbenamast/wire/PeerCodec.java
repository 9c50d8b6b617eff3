package org.verbenamast.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.Address;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.wire.generated.Envelope;

/** Maps messages between members to protobuf and back. */
public final class PeerCodec {

    private PeerCodec() {}

    /**
     * A message with its sender.
     *
     * @param from the sender
     * @param opening what the first message of a connection tells, if this is one
     * @param message the message
     * @param refused the faults of rows that can't be read and were left out
     */
    public record Received(MemberId from, Optional<Opening> opening, PeerMessage message, List<WireException> refused) {

        /** Copies the list. */
        public Received {
            refused = List.copyOf(refused);
        }
    }

    /**
     * Writes a message.
     *
     * @param from the sender
     * @param message the message
     * @return the protobuf message
     */
    public static Envelope encode(MemberId from, PeerMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder().setFrom(ModelCodec.encode(from));
        message.deliver(new PeerEncoder(envelope), from, 0);
        return envelope.build();
    }

    /**
     * Writes the first message of a connection.
     *
     * @param from the sender
     * @param opening where the sender listens and for whom the connection is meant
     * @param message the message
     * @return the protobuf message
     */
    public static Envelope encodeFirst(MemberId from, Opening opening, PeerMessage message) {
        Envelope.Builder envelope = encode(from, message).toBuilder();
        envelope.setPeer(opening.peer().toString());
        if (!opening.to().isNone()) {
            envelope.setTo(ModelCodec.encode(opening.to()));
        }
        return envelope.build();
    }

    /**
     * Reads a message.
     *
     * @param envelope the protobuf message
     * @return the message with its sender
     * @throws WireException where the kind is not known or a value is not allowed
     */
    public static Received decode(Envelope envelope) throws WireException {
        if (!envelope.hasFrom()) {
            throw WireException.shouldHaveSender();
        }
        try {
            List<WireException> refused = new ArrayList<>();
            PeerMessage message = decodeKind(envelope, refused);
            return new Received(ModelCodec.decode(envelope.getFrom()), decodeOpening(envelope), message, refused);
        } catch (RuntimeException e) {
            throw WireException.shouldHoldValidValues(e);
        }
    }

    private static Optional<Opening> decodeOpening(Envelope envelope) {
        if (envelope.getPeer().isEmpty()) {
            return Optional.empty();
        }
        MemberId to = envelope.hasTo() ? ModelCodec.decode(envelope.getTo()) : MemberId.NONE;
        return Optional.of(new Opening(Address.parse(envelope.getPeer()), to));
    }

    private static PeerMessage decodeKind(Envelope envelope, List<WireException> refused) throws WireException {
        return switch (envelope.getKindCase()) {
            case FORWARD -> RequestCodec.decode(envelope.getForward());
            case ENDED -> RequestCodec.decode(envelope.getEnded());
            case CANCEL ->
                new PeerMessage.Cancel(
                        ModelCodec.decode(envelope.getCancel().getId()),
                        envelope.getCancel().getAttempt());
            case VOUCH ->
                new PeerMessage.LeaseRequest(
                        ModelCodec.decode(envelope.getVouch().getVoucher()),
                        envelope.getVouch().getSentAt());
            case VOUCH_REPLY ->
                new PeerMessage.LeaseReply(
                        envelope.getVouchReply().getSentAt(),
                        envelope.getVouchReply().getGranted());
            case SEAL ->
                new PeerMessage.Seal(
                        ModelCodec.decode(envelope.getSeal().getVoucher()),
                        ModelCodec.decode(envelope.getSeal().getHolder()));
            case SEAL_REPLY ->
                new PeerMessage.SealReply(
                        ModelCodec.decode(envelope.getSealReply().getHolder()),
                        envelope.getSealReply().getSealed(),
                        envelope.getSealReply().getRemainingNanos());
            case ROW_PUSH -> RowCodec.decode(envelope.getRowPush(), refused);
            case DIGEST_OFFER ->
                new PeerMessage.DigestOffer(
                        envelope.getDigestOffer().getBucketsList(),
                        envelope.getDigestOffer().getRate());
            case BUCKET_VERSIONS -> RowCodec.decode(envelope.getBucketVersions(), refused);
            case ROW_REQUEST -> RowCodec.decode(envelope.getRowRequest());
            case RUN_RECORDS -> RunCodec.decode(envelope.getRunRecords());
            case CRASH_NOTICE -> CrashCodec.decode(envelope.getCrashNotice());
            case CRASH_QUERY -> new PeerMessage.CrashQuery();
            case CRASH_HISTORY -> CrashCodec.decode(envelope.getCrashHistory());
            case MARK_PUSH -> TableCodec.decode(envelope.getMarkPush());
            case KIND_NOT_SET -> throw WireException.shouldHaveKnownKind();
        };
    }

    static <A, B> List<B> map(List<A> items, java.util.function.Function<A, B> mapper) {
        List<B> mapped = new ArrayList<>(items.size());
        items.forEach(item -> mapped.add(mapper.apply(item)));
        return mapped;
    }
}
