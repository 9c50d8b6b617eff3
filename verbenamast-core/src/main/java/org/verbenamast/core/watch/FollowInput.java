package org.verbenamast.core.watch;

/**
 * The input of a followed table's events. A field is 0 where it does not apply to the event.
 *
 * @param callId the number of the call that the event belongs to
 * @param version the store's version as of the answer
 * @param latest the version of the newest received row of the kind that nodes send each other; 0 where there is none
 * @param bytes the length of the answer, in bytes
 * @param provenAt the monotonic time when the store answered another node, in nanoseconds; 0 where unknown
 * @param empty whether the answer contained no rows
 */
public record FollowInput(long callId, long version, long latest, long bytes, long provenAt, boolean empty) {

    /** The input of events that carry no data. */
    public static final FollowInput NONE = new FollowInput(0, 0, 0, 0, 0, true);

    /**
     * Creates the input for an answer from the store.
     *
     * @param version the store's version as of the answer
     * @param latest the version of the newest received row of the kind that nodes send each other; 0 where there is
     *     none
     * @param empty whether the answer contained no rows
     * @return the input
     */
    public static FollowInput ofAnswer(long version, long latest, boolean empty) {
        return new FollowInput(0, version, latest, 0, 0, empty);
    }

    /**
     * Returns the input of an answer with its length.
     *
     * @param length the length of the answer, in bytes
     * @return the input
     */
    public FollowInput withBytes(long length) {
        return new FollowInput(callId, version, latest, length, provenAt, empty);
    }

    /**
     * Returns the input of an answer with the newest version of its rows.
     *
     * @param newest the version of the newest received row of the kind that nodes send each other; 0 where there is
     *     none
     * @return the input
     */
    public FollowInput withLatest(long newest) {
        return new FollowInput(callId, version, newest, bytes, provenAt, empty);
    }

    static FollowInput ofRow(long latest) {
        return new FollowInput(0, 0, latest, 0, 0, true);
    }

    static FollowInput ofProof(long at) {
        return new FollowInput(0, 0, 0, 0, at, true);
    }

    FollowInput withCallId(long id) {
        return new FollowInput(id, version, latest, bytes, provenAt, empty);
    }
}
