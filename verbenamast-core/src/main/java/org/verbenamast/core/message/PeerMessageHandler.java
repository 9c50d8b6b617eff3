package org.verbenamast.core.message;

import org.verbenamast.core.model.MemberId;

/** Handles the messages between members, with one method for each type of {@link PeerMessage}. */
public interface PeerMessageHandler {

    /**
     * Handles a request that this node's backend server should execute.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onForward(MemberId from, PeerMessage.Forward message, long now);

    /**
     * Handles the outcome of a request that this node forwarded.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onEnded(MemberId from, PeerMessage.Ended message, long now);

    /**
     * Handles the cancellation of a request that was forwarded to this node.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCancel(MemberId from, PeerMessage.Cancel message, long now);

    /**
     * Handles a request to grant a lease to the sender.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest message, long now);

    /**
     * Handles the answer of a lease peer to a lease request.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onLeaseReply(MemberId from, PeerMessage.LeaseReply message, long now);

    /**
     * Handles a request never to grant a lease to an incarnation again.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onSeal(MemberId from, PeerMessage.Seal message, long now);

    /**
     * Handles the answer of a lease peer to a seal request.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onSealReply(MemberId from, PeerMessage.SealReply message, long now);

    /**
     * Handles rows of the table service that the sender spreads.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRowPush(MemberId from, PeerMessage.RowPush message, long now);

    /**
     * Handles a digest of the sender's rows.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now);

    /**
     * Handles the versions of the sender's rows in some buckets.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now);

    /**
     * Handles a request for rows that the sender lacks.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now);

    /**
     * Handles execution records from the previous owner of a slice.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now);

    /**
     * Handles a report about requests that may have crashed a backend server.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now);

    /**
     * Handles a query for this node's suspicions against requests.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now);

    /**
     * Handles the suspicions of a member against requests.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now);

    /**
     * Handles an operator's mark that the sender spreads.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now);
}
