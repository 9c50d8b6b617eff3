package org.verbenamast.core.node;

import java.util.Objects;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.PeerMessageHandler;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.store.Row;

/** Hands each kind of message between members to the desk that answers it. */
final class NodeMessages implements PeerMessageHandler {

    private final NodeControllers desks;
    private final Effects effects;

    NodeMessages(NodeControllers desks, Effects effects) {
        this.desks = Objects.requireNonNull(desks, "desks");
        this.effects = Objects.requireNonNull(effects, "effects");
    }

    @Override
    public void onForward(MemberId from, PeerMessage.Forward message, long now) {
        desks.serving().onForward(from, message, now, effects);
    }

    @Override
    public void onEnded(MemberId from, PeerMessage.Ended message, long now) {
        desks.entries().onAttemptEnded(from, message, now, effects);
    }

    @Override
    public void onCancel(MemberId from, PeerMessage.Cancel message, long now) {
        desks.serving().onCancel(message.id(), message.attempt(), now, effects);
    }

    @Override
    public void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest message, long now) {
        desks.lease().onLeaseRequest(from, message, now, effects);
    }

    @Override
    public void onLeaseReply(MemberId from, PeerMessage.LeaseReply message, long now) {
        desks.lease().onLeaseReply(from, message, now, effects);
    }

    @Override
    public void onSeal(MemberId from, PeerMessage.Seal message, long now) {
        desks.lease().onSeal(from, message, now, effects);
    }

    @Override
    public void onSealReply(MemberId from, PeerMessage.SealReply message, long now) {
        desks.lease().onSealReply(from, message, now, effects);
    }

    @Override
    public void onRowPush(MemberId from, PeerMessage.RowPush message, long now) {
        message.rows().forEach(row -> pushed(from, row, now));
    }

    private void pushed(MemberId from, Row row, long now) {
        if (desks.learn(row, now)) {
            desks.spread().onRow(row, now);
        } else {
            desks.spread().onRefusedRow(from, row, effects);
        }
    }

    @Override
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now) {
        if (message.buckets().size() == 1) {
            desks.ownership().onRateReport(from, message.rate(), now);
        }
        desks.spread().onDigestOffer(from, message, effects);
    }

    @Override
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now) {
        desks.spread().onBucketVersions(from, message, now, effects);
    }

    @Override
    public void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now) {
        desks.suspects().onNotice(message, now, effects);
    }

    @Override
    public void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now) {
        desks.suspects().onCrashQuery(from, effects);
    }

    @Override
    public void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now) {
        desks.suspects().onAnswer(message, now, effects);
    }

    @Override
    public void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now) {
        desks.serving().runs().onRecords(message, now, effects);
    }

    @Override
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now) {
        desks.spread().onRowRequest(from, message, effects);
    }

    @Override
    public void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now) {
        desks.marks().onMarkPush(message.mark(), now, effects);
    }
}
