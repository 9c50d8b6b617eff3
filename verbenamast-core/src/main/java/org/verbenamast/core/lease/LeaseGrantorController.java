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

/** The promises that this node makes other members as their lease peer. */
final class LeaseGrantorController {

    static final Vocabulary<LeaseGrantorEvent, LeaseGrantorGuard, LeaseGrantorAction, LeaseGrantorTimer, NoTag>
            VOCABULARY = new Vocabulary<>(
                    LeaseGrantorEvent.class,
                    LeaseGrantorGuard.class,
                    LeaseGrantorAction.class,
                    LeaseGrantorTimer.class,
                    NoTag.class);

    private final MemberId self;
    private final LeaseTimings terms;
    private final Directory directory;
    private final LeaseHolderController own;
    private final TakeoverController takeovers;
    private final ChartInstances<MemberId, LeaseGrantorEvent, LeaseGrantorData, LeaseGrantorInput> promises;

    LeaseGrantorController(
            MemberId self,
            LeaseTimings terms,
            Directory directory,
            LeaseHolderController own,
            TakeoverController takeovers,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.terms = Objects.requireNonNull(terms, "terms");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.own = Objects.requireNonNull(own, "own");
        this.takeovers = Objects.requireNonNull(takeovers, "takeovers");
        Chart<LeaseGrantorEvent, LeaseGrantorData, LeaseGrantorInput> chart =
                ChartReader.bundled("voucher", VOCABULARY);
        this.promises = new ChartInstances<>(chart, event -> LeaseGrantorInput.NONE, listener);
    }

    /** Watches a holder whose row names this node as a lease peer. */
    void learnt(MemberRow row, long now, Effects effects) {
        if (row.status().over()) {
            promises.fire(row.id(), LeaseGrantorEvent.HOLDER_ENDED, LeaseGrantorInput.NONE, now, effects);
        } else if (row.leasePeers().contains(self) && !row.id().equals(self)) {
            watch(row.id(), now);
        }
    }

    void vouchAsked(MemberId holder, PeerMessage.LeaseRequest vouch, long now, Effects effects) {
        if (vouch.grantor().equals(self) && !directory.ended(holder)) {
            watch(holder, now);
            LeaseGrantorInput input = new LeaseGrantorInput(holder, vouch.sentAt());
            promises.fire(holder, LeaseGrantorEvent.VOUCH_ASKED, input, now, effects);
        }
    }

    void sealAsked(MemberId asker, PeerMessage.Seal seal, long now, Effects effects) {
        if (seal.grantor().equals(self) && !directory.ended(seal.holder())) {
            watch(seal.holder(), now);
            promises.fire(seal.holder(), LeaseGrantorEvent.SEAL_ASKED, new LeaseGrantorInput(asker, 0), now, effects);
        }
    }

    private void watch(MemberId holder, long now) {
        if (promises.find(holder) == null) {
            promises.begin(holder, new LeaseGrantorData(holder, now, now, this), now);
        }
    }

    void advance(long now, Effects effects) {
        promises.advance(now, effects);
    }

    long nextDue() {
        return promises.nextDue();
    }

    LeaseTimings terms() {
        return terms;
    }

    boolean mayVouch(long now) {
        return own.mayVouch(now);
    }

    boolean isListedBy(MemberId holder) {
        return rank(holder) < PeerChoice.WANTED;
    }

    int rank(MemberId holder) {
        MemberRow row = directory.member(holder);
        int at = row == null ? -1 : row.leasePeers().indexOf(self);
        return at < 0 ? PeerChoice.WANTED : at;
    }

    void heard(MemberId holder, long now, Effects effects) {
        takeovers.heard(holder, now, effects);
    }

    void takeOver(MemberId holder, long now, Effects effects) {
        takeovers.begin(holder, now, effects);
    }
}
