package org.verbenamast.core.message;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.gate.crash.CrashNoticeKind;
import org.verbenamast.core.gate.crash.Fingerprint;
import org.verbenamast.core.gate.crash.Suspicion;
import org.verbenamast.core.gate.runs.KeptRun;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.store.Row;
import org.verbenamast.core.store.RowKey;
import org.verbenamast.core.table.MarkRow;

/** A message from one member to another. */
public sealed interface PeerMessage {

    /**
     * Spreads an operator's mark that may not have reached the table service yet.
     *
     * @param mark the mark's row
     */
    record MarkPush(MarkRow mark) implements PeerMessage {

        /** Checks the mark. */
        public MarkPush {
            Objects.requireNonNull(mark, "mark");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onMarkPush(from, this, now);
        }
    }

    /**
     * Calls the method of a handler that handles messages of this type.
     *
     * @param handler the handler
     * @param from the sender
     * @param now the monotonic time, in nanoseconds
     */
    void deliver(PeerMessageHandler handler, MemberId from, long now);

    /**
     * Asks the receiver to have its backend server execute a request.
     *
     * @param id the request's identity
     * @param attempt the number of this attempt, starting at one
     * @param request the request
     * @param remainingNanos the time until the deadline, in nanoseconds
     */
    record Forward(RequestId id, int attempt, CallerRequest request, long remainingNanos) implements PeerMessage {

        /** Checks the components. */
        public Forward {
            Objects.requireNonNull(id, "id");
            Checks.positive("attempt", attempt);
            Objects.requireNonNull(request, "request");
        }

        /**
         * Returns a copy of this message with a request that was changed for the next hop.
         *
         * @param next the changed request
         * @return the changed message
         */
        public Forward withRequest(CallerRequest next) {
            return new Forward(id, attempt, next, remainingNanos);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onForward(from, this, now);
        }
    }

    /**
     * Reports the outcome of a forwarded request to the member that sent it.
     *
     * @param id the request's identity
     * @param attempt the number of the attempt that ended
     * @param outcome the outcome of that attempt
     */
    record Ended(RequestId id, int attempt, RequestOutcome outcome) implements PeerMessage {

        /** Checks the components. */
        public Ended {
            Objects.requireNonNull(id, "id");
            Checks.positive("attempt", attempt);
            Objects.requireNonNull(outcome, "outcome");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onEnded(from, this, now);
        }
    }

    /**
     * Cancels an attempt of a forwarded request: its sender no longer waits for the outcome.
     *
     * @param id the request's identity
     * @param attempt the number of the cancelled attempt
     */
    record Cancel(RequestId id, int attempt) implements PeerMessage {

        /** Checks the components. */
        public Cancel {
            Objects.requireNonNull(id, "id");
            Checks.positive("attempt", attempt);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCancel(from, this, now);
        }
    }

    /**
     * Asks the receiver, a lease peer of the sender, to grant a lease to the sender's incarnation.
     *
     * @param grantor the incarnation of the receiver that is asked; any other one ignores the request
     * @param sentAt the sender's monotonic time, in nanoseconds; the receiver only echoes it
     */
    record LeaseRequest(MemberId grantor, long sentAt) implements PeerMessage {

        /** Checks that the grantor is not null. */
        public LeaseRequest {
            Objects.requireNonNull(grantor, "grantor");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onLeaseRequest(from, this, now);
        }
    }

    /**
     * Answers {@link LeaseRequest}.
     *
     * @param sentAt the {@code sentAt} time of the request
     * @param granted whether the lease was granted
     */
    record LeaseReply(long sentAt, boolean granted) implements PeerMessage {

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onLeaseReply(from, this, now);
        }
    }

    /**
     * Asks the receiver, a lease peer, to seal a lease holder: a grantor that is sealed never again grants a lease to
     * that incarnation.
     *
     * @param grantor the incarnation of the receiver that is asked; any other one ignores the request
     * @param holder the lease holder whose lease is to expire
     */
    record Seal(MemberId grantor, MemberId holder) implements PeerMessage {

        /** Checks the components. */
        public Seal {
            Objects.requireNonNull(grantor, "grantor");
            Objects.requireNonNull(holder, "holder");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onSeal(from, this, now);
        }
    }

    /**
     * Answers {@link Seal}. Only where {@code sealed} is true, the sender never again grants a lease to the holder.
     * Otherwise it declined and keeps granting leases.
     *
     * @param holder the lease holder that the request named
     * @param sealed whether the sender is sealed for that holder
     * @param remainingNanos how long the sender's earlier lease grant remains valid, in nanoseconds
     */
    record SealReply(MemberId holder, boolean sealed, long remainingNanos) implements PeerMessage {

        /** Checks that the holder is not null. */
        public SealReply {
            Objects.requireNonNull(holder, "holder");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onSealReply(from, this, now);
        }
    }

    /**
     * Spreads rows of the table service by gossip.
     *
     * @param rows the rows
     */
    record RowPush(List<Row> rows) implements PeerMessage {

        /** Copies the list. */
        public RowPush {
            rows = List.copyOf(rows);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onRowPush(from, this, now);
        }
    }

    /**
     * Offers a digest of the rows that the sender knows: one number for each bucket of row keys.
     *
     * @param buckets the digests of the buckets; two buckets with equal digests are assumed to have equal rows
     * @param rate the request rate of the sender's slices, in requests per second
     */
    record DigestOffer(List<Long> buckets, double rate) implements PeerMessage {

        /** Copies the list and checks the rate. */
        public DigestOffer {
            buckets = List.copyOf(buckets);
            Checks.finiteNotNegative("rate", rate);
        }

        /**
         * Creates an offer of a sender whose slices receive no requests.
         *
         * @param buckets the digests of the buckets
         */
        public DigestOffer(List<Long> buckets) {
            this(buckets, 0);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onDigestOffer(from, this, now);
        }
    }

    /**
     * Lists the versions of the rows in some buckets. The receiver sends the rows of which it has newer versions, and
     * requests those that it lacks.
     *
     * @param buckets the indexes of the buckets
     * @param versions the versions of all rows that the sender has in these buckets
     */
    record BucketVersions(List<Integer> buckets, List<RowVersion> versions) implements PeerMessage {

        /** Copies the lists. */
        public BucketVersions {
            buckets = List.copyOf(buckets);
            versions = List.copyOf(versions);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onBucketVersions(from, this, now);
        }
    }

    /**
     * Requests rows from the receiver.
     *
     * @param keys the keys of the rows
     */
    record RowRequest(List<RowKey> keys) implements PeerMessage {

        /** Copies the list. */
        public RowRequest {
            keys = List.copyOf(keys);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onRowRequest(from, this, now);
        }
    }

    /**
     * Transfers the records of a slice's non-idempotent requests to its next owner, in several messages.
     *
     * @param slice the slice
     * @param epoch the epoch (fencing token) of the next owner
     * @param part the number of this part, starting at zero
     * @param parts the total number of parts
     * @param runs the records in this part
     */
    record RunRecords(SliceId slice, long epoch, int part, int parts, List<KeptRun> runs) implements PeerMessage {

        private static final int MAX_PARTS = 1 << 16;

        /** Checks the numbers and copies the list. */
        public RunRecords {
            Objects.requireNonNull(slice, "slice");
            Checks.positive("epoch", epoch);
            Checks.within("parts", parts, 1, MAX_PARTS);
            Checks.within("part", part, 0, parts - 1);
            runs = List.copyOf(runs);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onRunRecords(from, this, now);
        }
    }

    /**
     * Reports what a member knows about requests that a backend server was executing when its connection broke, such as
     * that the server crashed.
     *
     * @param fingerprints the fingerprints of the requests
     * @param incident the id of the incident, or an empty string where the notice belongs to none
     * @param kind what the sender reports about these requests
     */
    record CrashNotice(List<Fingerprint> fingerprints, String incident, CrashNoticeKind kind) implements PeerMessage {

        /** Checks the components and copies the list. */
        public CrashNotice {
            fingerprints = List.copyOf(fingerprints);
            Objects.requireNonNull(incident, "incident");
            Objects.requireNonNull(kind, "kind");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCrashNotice(from, this, now);
        }
    }

    /** Asks a member for all its suspicions against requests; a node sends it after its start. */
    record CrashQuery() implements PeerMessage {

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCrashQuery(from, this, now);
        }
    }

    /**
     * Answers {@link CrashQuery}.
     *
     * @param suspicions the requests that the sender suspects of crashing backend servers
     */
    record CrashHistory(List<Suspicion> suspicions) implements PeerMessage {

        /** Copies the list. */
        public CrashHistory {
            suspicions = List.copyOf(suspicions);
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCrashHistory(from, this, now);
        }
    }
}
