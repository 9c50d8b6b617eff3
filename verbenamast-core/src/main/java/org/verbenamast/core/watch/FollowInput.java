package org.verbenamast.core.watch;

/**
 * The input of a followed table's events.
 *
 * @param version the store's version that came with the rows
 * @param empty whether no rows came
 */
public record FollowInput(long version, boolean empty) {

    static final FollowInput NONE = new FollowInput(0, true);
}
