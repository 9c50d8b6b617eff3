package org.verbenamast.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.verbenamast.core.backend.BackendStateController;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.CrashReportController;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.rows.RowChange;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowWriter;
import org.verbenamast.core.rows.StorePurpose;
import org.verbenamast.core.rows.StoreResult;

/** The rows in which a node publishes itself and the crashes of the server beside it. */
final class OwnRows {

    private final OwnMemberRow memberRow;
    private final CrashReportController crashReports;
    private final RowWriter writer;
    private boolean replicaRead;
    private long era;
    private boolean rereading;

    OwnRows(
            RelaySettings settings,
            RowReplica replica,
            BackendStateController backend,
            CrashReportController crashReports,
            TransitionListener listener) {
        this.memberRow = new OwnMemberRow(settings, replica, backend);
        this.crashReports = crashReports;
        this.writer = new RowWriter(StorePurpose.MEMBERSHIP, replica, this::wantedChanges, listener);
    }

    private List<RowChange> wantedChanges(long now) {
        if (!replicaRead || rereading) {
            return List.of();
        }
        List<RowChange> changes = new ArrayList<>(memberRow.wantedChanges());
        changes.addAll(crashReports.wantedChanges(now));
        return changes;
    }

    /** Handles a snapshot of the rows, before which nothing is written; returns whether it is the first one. */
    boolean onSnapshot() {
        boolean first = !replicaRead;
        replicaRead = true;
        rereading = false;
        return first;
    }

    /**
     * Handles the era of the store. In a new one the store may have lost rows of this node: nothing is written or
     * confirmed before the rows have been read again.
     */
    void onEra(long known) {
        if (known != era) {
            era = known;
            rereading = true;
            crashReports.writeAgain();
        }
    }

    boolean isReplicaRead() {
        return replicaRead;
    }

    /** Returns what the store last knew of this node and its server. */
    Optional<Member> storedMember() {
        return memberRow.stored();
    }

    /** Returns whether the store knows that the server with an id, the one beside this node now, leaves. */
    boolean isLeaveRecorded(String id) {
        return !rereading && memberRow.isLeaveRecorded(id);
    }

    /** Writes the changes that the rows need, unless a call is pending. */
    void review(long now, Effects effects) {
        writer.review(now, effects);
    }

    void onStoreResult(long callId, StoreResult result, long now, Effects effects) {
        writer.onStoreResult(callId, result, now, effects);
    }

    void advance(long now, Effects effects) {
        writer.advance(now, effects);
        writer.review(now, effects);
    }

    long nextDue() {
        return Math.min(writer.nextDue(), crashReports.nextDue());
    }
}
