package org.verbenamast.wire;

import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.PeerMessageHandler;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.wire.generated.Cancel;
import org.verbenamast.wire.generated.CrashQuery;
import org.verbenamast.wire.generated.DigestOffer;
import org.verbenamast.wire.generated.Envelope;
import org.verbenamast.wire.generated.Seal;
import org.verbenamast.wire.generated.SealReply;
import org.verbenamast.wire.generated.Vouch;
import org.verbenamast.wire.generated.VouchReply;

/** Puts each kind of message into an envelope. */
final class PeerEncoder implements PeerMessageHandler {

    private final Envelope.Builder envelope;

    PeerEncoder(Envelope.Builder envelope) {
        this.envelope = envelope;
    }

    @Override
    public void onForward(MemberId from, PeerMessage.Forward message, long now) {
        envelope.setForward(RequestCodec.encode(message));
    }

    @Override
    public void onEnded(MemberId from, PeerMessage.Ended message, long now) {
        envelope.setEnded(RequestCodec.encode(message));
    }

    @Override
    public void onCancel(MemberId from, PeerMessage.Cancel message, long now) {
        envelope.setCancel(
                Cancel.newBuilder().setId(ModelCodec.encode(message.id())).setAttempt(message.attempt()));
    }

    @Override
    public void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest message, long now) {
        envelope.setVouch(Vouch.newBuilder()
                .setVoucher(ModelCodec.encode(message.grantor()))
                .setSentAt(message.sentAt()));
    }

    @Override
    public void onLeaseReply(MemberId from, PeerMessage.LeaseReply message, long now) {
        envelope.setVouchReply(
                VouchReply.newBuilder().setSentAt(message.sentAt()).setGranted(message.granted()));
    }

    @Override
    public void onSeal(MemberId from, PeerMessage.Seal message, long now) {
        envelope.setSeal(Seal.newBuilder()
                .setVoucher(ModelCodec.encode(message.grantor()))
                .setHolder(ModelCodec.encode(message.holder())));
    }

    @Override
    public void onSealReply(MemberId from, PeerMessage.SealReply message, long now) {
        envelope.setSealReply(SealReply.newBuilder()
                .setHolder(ModelCodec.encode(message.holder()))
                .setSealed(message.sealed())
                .setRemainingNanos(message.remainingNanos()));
    }

    @Override
    public void onRowPush(MemberId from, PeerMessage.RowPush message, long now) {
        envelope.setRowPush(RowCodec.encode(message));
    }

    @Override
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now) {
        envelope.setDigestOffer(
                DigestOffer.newBuilder().addAllBuckets(message.buckets()).setRate((float) message.rate()));
    }

    @Override
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now) {
        envelope.setBucketVersions(RowCodec.encode(message));
    }

    @Override
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now) {
        envelope.setRowRequest(RowCodec.encode(message));
    }

    @Override
    public void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now) {
        envelope.setRunRecords(RunCodec.encode(message));
    }

    @Override
    public void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now) {
        envelope.setCrashNotice(CrashCodec.encode(message));
    }

    @Override
    public void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now) {
        envelope.setCrashQuery(CrashQuery.getDefaultInstance());
    }

    @Override
    public void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now) {
        envelope.setCrashHistory(CrashCodec.encode(message));
    }

    @Override
    public void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now) {
        envelope.setMarkPush(TableCodec.encode(message));
    }
}
