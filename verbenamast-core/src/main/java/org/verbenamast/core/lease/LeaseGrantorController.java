package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;

/** Grants leases to other members as their lease peer, and begins a take-over when one stops requesting leases. */
final class LeaseGrantorController {

    static final Vocabulary<LeaseGrantorEvent, LeaseGrantorGuard, LeaseGrantorAction, LeaseGrantorTimer, NoTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseGrantorEvent.class,
                    LeaseGrantorGuard.class,
                    LeaseGrantorAction.class,
                    LeaseGrantorTimer.class,
                    NoTag.class);

    private final MemberId self;
    private final LeaseTimings timings;
    private final Directory directory;
    private final LeaseHolderController ownLease;
    private final TakeoverController takeovers;
    private final ChartInstances<MemberId, LeaseGrantorEvent, LeaseGrantorData, LeaseGrantorInput> grants;

    LeaseGrantorController(
            MemberId self,
            LeaseTimings timings,
            Directory directory,
            LeaseHolderController ownLease,
            TakeoverController takeovers,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.timings = Objects.requireNonNull(timings, "timings");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.ownLease = Objects.requireNonNull(ownLease, "ownLease");
        this.takeovers = Objects.requireNonNull(takeovers, "takeovers");
        Chart<LeaseGrantorEvent, LeaseGrantorData, LeaseGrantorInput> chart =
                ChartReader.bundled("voucher", VOCABULARY);
        this.grants = new ChartInstances<>(chart, event -> LeaseGrantorInput.NONE, listener);
    }

    /** Begins to watch a holder whose row names this node as a lease peer, or stops if its incarnation has ended. */
    void onRow(MemberRow row, long now, Effects effects) {
        if (row.status().hasEnded()) {
            grants.fire(row.id(), LeaseGrantorEvent.HOLDER_ENDED, LeaseGrantorInput.NONE, now, effects);
        } else if (row.leasePeers().contains(self) && !row.id().equals(self)) {
            watch(row.id(), now);
        }
    }

    void onLeaseRequest(MemberId holder, PeerMessage.LeaseRequest request, long now, Effects effects) {
        if (request.grantor().equals(self) && !directory.hasEnded(holder)) {
            watch(holder, now);
            LeaseGrantorInput input = new LeaseGrantorInput(holder, request.sentAt());
            grants.fire(holder, LeaseGrantorEvent.VOUCH_ASKED, input, now, effects);
        }
    }

    void onSeal(MemberId sender, PeerMessage.Seal seal, long now, Effects effects) {
        if (seal.grantor().equals(self) && !directory.hasEnded(seal.holder())) {
            watch(seal.holder(), now);
            grants.fire(seal.holder(), LeaseGrantorEvent.SEAL_ASKED, new LeaseGrantorInput(sender, 0), now, effects);
        }
    }

    private void watch(MemberId holder, long now) {
        if (grants.find(holder) == null) {
            grants.begin(holder, new LeaseGrantorData(holder, now, now, this), now);
        }
    }

    void advance(long now, Effects effects) {
        grants.advance(now, effects);
    }

    long nextDue() {
        return grants.nextDue();
    }

    LeaseTimings timings() {
        return timings;
    }

    boolean mayGrant(long now) {
        return ownLease.mayGrant(now);
    }

    boolean isLeasePeerOf(MemberId holder) {
        return rank(holder) < PeerChoice.PEER_COUNT;
    }

    int rank(MemberId holder) {
        MemberRow row = directory.member(holder);
        int position = row == null ? -1 : row.leasePeers().indexOf(self);
        return position < 0 ? PeerChoice.PEER_COUNT : position;
    }

    void notifyGranted(MemberId holder, long now, Effects effects) {
        takeovers.onLeaseGranted(holder, now, effects);
    }

    void beginTakeover(MemberId holder, long now, Effects effects) {
        takeovers.begin(holder, now, effects);
    }
}
