package org.verbenamast.core.message;

import org.verbenamast.core.model.MemberId;

/** Takes each kind of message between members. */
public interface PeerMessageHandler {

    /**
     * Takes a request to be run here.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onForward(MemberId from, PeerMessage.Forward message, long now);

    /**
     * Takes the end of a forwarded request.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onEnded(MemberId from, PeerMessage.Ended message, long now);

    /**
     * Takes the cancellation of a forwarded request.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCancel(MemberId from, PeerMessage.Cancel message, long now);

    /**
     * Takes a request to vouch.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onLeaseRequest(MemberId from, PeerMessage.LeaseRequest message, long now);

    /**
     * Takes the answer to a request to vouch.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onLeaseReply(MemberId from, PeerMessage.LeaseReply message, long now);

    /**
     * Takes a request to seal an incarnation.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onSeal(MemberId from, PeerMessage.Seal message, long now);

    /**
     * Takes the answer to a request to seal.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onSealReply(MemberId from, PeerMessage.SealReply message, long now);

    /**
     * Takes rows.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRowPush(MemberId from, PeerMessage.RowPush message, long now);

    /**
     * Takes a summary of the sender's rows.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onDigestOffer(MemberId from, PeerMessage.DigestOffer message, long now);

    /**
     * Takes the versions of the sender's rows in some buckets.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onBucketVersions(MemberId from, PeerMessage.BucketVersions message, long now);

    /**
     * Takes a request for rows.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRowRequest(MemberId from, PeerMessage.RowRequest message, long now);

    /**
     * Takes the records of a slice's earlier owner.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onRunRecords(MemberId from, PeerMessage.RunRecords message, long now);

    /**
     * Takes what is held against requests that may have crashed backend servers.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashNotice(MemberId from, PeerMessage.CrashNotice message, long now);

    /**
     * Takes the question what this node holds against requests.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashQuery(MemberId from, PeerMessage.CrashQuery message, long now);

    /**
     * Takes what a member holds against requests.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onCrashHistory(MemberId from, PeerMessage.CrashHistory message, long now);

    /**
     * Takes a mark.
     *
     * @param from the sender
     * @param message the message
     * @param now the monotonic time, in nanoseconds
     */
    void onMarkPush(MemberId from, PeerMessage.MarkPush message, long now);
}
