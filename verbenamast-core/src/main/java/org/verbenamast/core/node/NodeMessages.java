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
        controllers.executions().onForward(from, message, now, effects);
    }

    @Override
    public void onEnded(MemberId from, PeerMessage.Ended message, long now) {
        controllers.requests().onAttemptEnded(from, message, now, effects);
    }

    @Override
    public void onCancel(MemberId from, PeerMessage.Cancel message, long now) {
        controllers.executions().onCancel(message.id(), message.attempt(), now, effects);
    }

    @Override
    public void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest message, long now) {
        controllers.lease().onLeaseRequest(from, message, now, effects);
    }

    @Override
    public void onLeaseReply(MemberId from, PeerMessage.LeaseReply message, long now) {
        controllers.lease().onLeaseReply(from, message, now, effects);
    }

    @Override
    public void onSeal(MemberId from, PeerMessage.Seal message, long now) {
        controllers.lease().onSeal(from, message, now, effects);
    }

    @Override
    public void onSealReply(MemberId from, PeerMessage.SealReply message, long now) {
        controllers.lease().onSealReply(from, message, now, effects);
    }

    @Override
    public void onRowPush(MemberId from, PeerMessage.RowPush message, long now) {
        message.rows().forEach(row -> onPushedRow(from, row, now));
    }

    private void onPushedRow(MemberId from, Row row, long now) {
        if (controllers.applyRow(row, now)) {
            controllers.gossip().onRow(row, now);
        } else {
            controllers.gossip().onRefusedRow(from, row, effects);
        }
    }

    @Override
    public void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now) {
        if (message.buckets().size() == 1) {
            controllers.ownership().onRateReport(from, message.rate(), now);
        }
        controllers.gossip().onDigestOffer(from, message, effects);
    }

    @Override
    public void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now) {
        controllers.gossip().onBucketVersions(from, message, now, effects);
    }

    @Override
    public void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now) {
        controllers.suspects().onNotice(message, now, effects);
    }

    @Override
    public void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now) {
        controllers.suspects().onCrashQuery(from, effects);
    }

    @Override
    public void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now) {
        controllers.suspects().onAnswer(message, now, effects);
    }

    @Override
    public void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now) {
        controllers.executions().runs().onRecords(message, now, effects);
    }

    @Override
    public void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now) {
        controllers.gossip().onRowRequest(from, message, effects);
    }

    @Override
    public void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now) {
        controllers.marks().onMarkPush(message.mark(), now, effects);
    }
}
