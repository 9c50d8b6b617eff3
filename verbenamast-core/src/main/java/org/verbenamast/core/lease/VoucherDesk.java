package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.Population;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.Directory;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;

/** The promises that this node makes other members as their lease peer. */
final class VoucherDesk {

    static final Vocabulary<VoucherEvent, VoucherGuard, VoucherAction, VoucherTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    VoucherEvent.class, VoucherGuard.class, VoucherAction.class, VoucherTimer.class, NoTag.class);

    private final MemberId self;
    private final LeaseTerms terms;
    private final Directory directory;
    private final HolderDesk own;
    private final TakeoverDesk takeovers;
    private final Population<MemberId, VoucherEvent, VoucherData, VoucherInput> promises;

    VoucherDesk(
            MemberId self,
            LeaseTerms terms,
            Directory directory,
            HolderDesk own,
            TakeoverDesk takeovers,
            TransitionListener listener) {
        this.self = Objects.requireNonNull(self, "self");
        this.terms = Objects.requireNonNull(terms, "terms");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.own = Objects.requireNonNull(own, "own");
        this.takeovers = Objects.requireNonNull(takeovers, "takeovers");
        Chart<VoucherEvent, VoucherData, VoucherInput> chart = ChartReader.bundled("voucher", VOCABULARY);
        this.promises = new Population<>(chart, event -> VoucherInput.NONE, listener);
    }

    /** Watches a holder whose row names this node as a lease peer. */
    void learnt(MemberRow row, long now, Effects effects) {
        if (row.status().over()) {
            promises.fire(row.id(), VoucherEvent.HOLDER_ENDED, VoucherInput.NONE, now, effects);
        } else if (row.leasePeers().contains(self) && !row.id().equals(self)) {
            watch(row.id(), now);
        }
    }

    void vouchAsked(MemberId holder, PeerMessage.Vouch vouch, long now, Effects effects) {
        if (vouch.voucher().equals(self) && !directory.ended(holder)) {
            watch(holder, now);
            VoucherInput input = new VoucherInput(holder, vouch.sentAt());
            promises.fire(holder, VoucherEvent.VOUCH_ASKED, input, now, effects);
        }
    }

    void sealAsked(MemberId asker, PeerMessage.Seal seal, long now, Effects effects) {
        if (seal.voucher().equals(self) && !directory.ended(seal.holder())) {
            watch(seal.holder(), now);
            promises.fire(seal.holder(), VoucherEvent.SEAL_ASKED, new VoucherInput(asker, 0), now, effects);
        }
    }

    private void watch(MemberId holder, long now) {
        if (promises.find(holder) == null) {
            promises.begin(holder, new VoucherData(holder, now, now, this), now);
        }
    }

    void advance(long now, Effects effects) {
        promises.advance(now, effects);
    }

    long nextDue() {
        return promises.nextDue();
    }

    LeaseTerms terms() {
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
