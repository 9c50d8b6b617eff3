package org.verbenamast.core.node;

import java.util.Objects;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.message.PeerMessageHandler;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.store.Row;

/** Dispatches each kind of message from a member to the controller that handles it. */
final class NodeMessages implements PeerMessageHandler {

    private final NodeControllers controllers;
    private final Effects effects;

    NodeMessages(NodeControllers controllers, Effects effects) {
        this.controllers = Objects.requireNonNull(controllers, "controllers");
        this.effects = Objects.requireNonNull(effects, "effects");
    }

    @Override
    public void onForward(MemberId from, PeerMessage.Forward message, long now) {
        controllers.executions().offered(from, message, now, effects);
    }

    @Override
    public void onEnded(MemberId from, PeerMessage.Ended message, long now) {
        controllers.requests().ended(from, message, now, effects);
    }

    @Override
    public void onCancel(MemberId from, PeerMessage.Cancel message, long now) {
        controllers.executions().cancelled(message.id(), message.attempt(), now, effects);
    }

    @Override
    public void onVouch(MemberId from, PeerMessage.Vouch message, long now) {
        controllers.lease().vouchAsked(from, message, now, effects);
    }

    @Override
    public void onVouchReply(MemberId from, PeerMessage.VouchReply message, long now) {
        controllers.lease().vouchReplied(from, message, now, effects);
    }

    @Override
    public void onSeal(MemberId from, PeerMessage.Seal message, long now) {
        controllers.lease().sealAsked(from, message, now, effects);
    }

    @Override
    public void onSealReply(MemberId from, PeerMessage.SealReply message, long now) {
        controllers.lease().sealReplied(from, message, now, effects);
    }

    @Override
    public void onRowPush(MemberId from, PeerMessage.RowPush message, long now) {
        message.rows().forEach(row -> onPushedRow(from, row, now));
    }

    private void onPushedRow(MemberId from, Row row, long now) {
        if (controllers.applyRow(row, now)) {
            controllers.gossip().learnt(row, now);
        } else {
            controllers.gossip().refused(from, row, effects);
        }
    }

    @Override
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now) {
        if (message.buckets().size() == 1) {
            controllers.ownership().heard(from, message.rate(), now);
        }
        controllers.gossip().offered(from, message, effects);
    }

    @Override
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now) {
        controllers.gossip().compared(from, message, now, effects);
    }

    @Override
    public void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now) {
        controllers.suspects().heard(message, now, effects);
    }

    @Override
    public void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now) {
        controllers.suspects().asked(from, effects);
    }

    @Override
    public void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now) {
        controllers.suspects().answered(message, now, effects);
    }

    @Override
    public void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now) {
        controllers.executions().runs().recordsCame(message, now, effects);
    }

    @Override
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now) {
        controllers.gossip().requested(from, message, effects);
    }

    @Override
    public void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now) {
        controllers.marks().heard(message.mark(), now, effects);
    }
}
