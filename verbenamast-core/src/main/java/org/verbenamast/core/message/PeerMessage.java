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

/** What members send each other. */
public sealed interface PeerMessage {

    /**
     * Passes on an operator's mark that the table service is not known to have.
     *
     * @param mark the mark
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
     * Hands this message to the method of a handler that takes its kind.
     *
     * @param handler the handler
     * @param from the sender
     * @param now the monotonic time, in nanoseconds
     */
    void deliver(PeerMessageHandler handler, MemberId from, long now);

    /**
     * Asks the receiver to have a request run by its backend server.
     *
     * @param id the request's identity
     * @param attempt the number of this try of the request, from one
     * @param request the request
     * @param remainingNanos the time until the deadline, in nanoseconds
     */
    record Forward(RequestId id, int attempt, CallerRequest request, long remainingNanos) implements PeerMessage {

        /** Checks the parts. */
        public Forward {
            Objects.requireNonNull(id, "id");
            Checks.positive("attempt", attempt);
            Objects.requireNonNull(request, "request");
        }

        /**
         * Returns this message with the request changed for the next hop.
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
     * Tells how a forwarded request ended.
     *
     * @param id the request's identity
     * @param attempt the number of the try that ended
     * @param outcome how it ended
     */
    record Ended(RequestId id, int attempt, RequestOutcome outcome) implements PeerMessage {

        /** Checks the parts. */
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
     * Tells that nobody waits for a forwarded request any more.
     *
     * @param id the request's identity
     * @param attempt the number of the try that is given up
     */
    record Cancel(RequestId id, int attempt) implements PeerMessage {

        /** Checks the parts. */
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
     * Asks the receiver to vouch for the sender's incarnation for the length of a lease.
     *
     * @param voucher the incarnation of the receiver that is asked
     * @param sentAt the sender's monotonic time, in nanoseconds; only echoed
     */
    record LeaseRequest(MemberId grantor, long sentAt) implements PeerMessage {

        /** Checks the receiver. */
        public LeaseRequest {
            Objects.requireNonNull(grantor, "voucher");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onLeaseRequest(from, this, now);
        }
    }

    /**
     * Answers {@link LeaseRequest}.
     *
     * @param sentAt the time that the request carried
     * @param granted whether the sender vouches
     */
    record LeaseReply(long sentAt, boolean granted) implements PeerMessage {

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onLeaseReply(from, this, now);
        }
    }

    /**
     * Asks the receiver never to vouch for an incarnation again.
     *
     * @param voucher the incarnation of the receiver that is asked
     * @param holder the incarnation that is to lose its lease
     */
    record Seal(MemberId grantor, MemberId holder) implements PeerMessage {

        /** Checks the parts. */
        public Seal {
            Objects.requireNonNull(grantor, "voucher");
            Objects.requireNonNull(holder, "holder");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onSeal(from, this, now);
        }
    }

    /**
     * Answers {@link Seal}: the sender will never vouch for the holder again.
     *
     * @param holder the incarnation
     * @param sealed whether the sender made the promise
     * @param remainingNanos how long what the sender vouched for earlier still holds, in nanoseconds
     */
    record SealReply(MemberId holder, boolean sealed, long remainingNanos) implements PeerMessage {

        /** Checks the holder. */
        public SealReply {
            Objects.requireNonNull(holder, "holder");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onSealReply(from, this, now);
        }
    }

    /**
     * Spreads rows of the table service.
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
     * Offers a summary of the rows that the sender knows: one number per bucket of row keys.
     *
     * @param buckets the numbers; equal numbers mean equal rows
     * @param rate how many requests a second the sender's slices get
     */
    record DigestOffer(List<Long> buckets, double rate) implements PeerMessage {

        /** Copies the list and checks the rate. */
        public DigestOffer {
            buckets = List.copyOf(buckets);
            Checks.finiteNotNegative("rate", rate);
        }

        /**
         * Makes an offer of a sender whose slices get no requests.
         *
         * @param buckets the numbers; equal numbers mean equal rows
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
     * Lists the versions of the rows in some buckets, so that the receiver can send what is newer and ask for the rest.
     *
     * @param buckets the numbers of the buckets
     * @param versions the versions of all rows that the sender has in them
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
     * Asks for rows.
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
     * Passes the records of a slice's non-idempotent requests to its next owner, in parts.
     *
     * @param slice the slice
     * @param epoch the next owner's epoch
     * @param part the number of this part, from zero
     * @param parts the number of parts
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
     * Tells what is held against requests that a backend server had when its connection broke.
     *
     * @param fingerprints the requests' fingerprints
     * @param incident the id of the incident, or an empty text
     * @param news what is told
     */
    record CrashNotice(List<Fingerprint> fingerprints, String incident, CrashNoticeKind kind) implements PeerMessage {

        /** Checks the parts and copies the list. */
        public CrashNotice {
            fingerprints = List.copyOf(fingerprints);
            Objects.requireNonNull(incident, "incident");
            Objects.requireNonNull(kind, "news");
        }

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCrashNotice(from, this, now);
        }
    }

    /** Asks a member, after the start of a node, what it holds against requests. */
    record CrashQuery() implements PeerMessage {

        @Override
        public void deliver(PeerMessageHandler handler, MemberId from, long now) {
            handler.onCrashQuery(from, this, now);
        }
    }

    /**
     * Answers {@link CrashQuery}.
     *
     * @param suspicions all that the sender holds against requests
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
