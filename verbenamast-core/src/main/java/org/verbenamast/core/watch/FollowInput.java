package org.verbenamast.core.watch;

/**
 * The input of a followed table's events.
 *
 * @param version the store's version that came with the rows, or the time of an event that tells one
 * @param latest the version of the newest of those rows that nodes tell each other of; 0 where none came
 * @param empty whether no rows came
 */
public record FollowInput(long version, long latest, boolean empty) {

    /** Nothing came. */
    public static final FollowInput NONE = new FollowInput(0, 0, true);

    static FollowInput latest(long version) {
        return new FollowInput(0, version, true);
    }

    static FollowInput at(long time) {
        return new FollowInput(time, 0, true);
    }
}
