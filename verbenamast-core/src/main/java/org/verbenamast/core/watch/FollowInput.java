package org.verbenamast.core.watch;

/**
 * The input of a followed table's events.
 *
 * @param version the store's version that came with the rows, or that another node knows of
 * @param latest the version of the newest row that came; 0 where none came
 */
public record FollowInput(long version, long latest) {

    /** Nothing came. */
    public static final FollowInput NONE = new FollowInput(0, 0);

    boolean empty() {
        return latest == 0;
    }
}
