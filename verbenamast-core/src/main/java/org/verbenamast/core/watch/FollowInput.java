package org.verbenamast.core.watch;

/**
 * The input of a followed table's events.
 *
 * @param version the store's version that came with the rows
 * @param latest the version of the newest of those rows that nodes tell each other of; 0 where none came
 * @param provenAt when the store answered another node, in nanoseconds; 0 where nothing is told of that
 * @param empty whether no rows came
 */
public record FollowInput(long version, long latest, long provenAt, boolean empty) {

    /** Nothing came. */
    public static final FollowInput NONE = new FollowInput(0, 0, 0, true);

    /**
     * Makes the input of an answer of the store.
     *
     * @param version the store's version
     * @param latest the version of the newest row of those that nodes tell each other of; 0 where none came
     * @param empty whether no rows came
     * @return the input
     */
    public static FollowInput ofAnswer(long version, long latest, boolean empty) {
        return new FollowInput(version, latest, 0, empty);
    }

    static FollowInput ofRow(long latest) {
        return new FollowInput(0, latest, 0, true);
    }

    static FollowInput ofProof(long at) {
        return new FollowInput(0, 0, at, true);
    }
}
