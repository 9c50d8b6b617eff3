package org.verbenamast.core.keys;

/**
 * The input of a watched lease's events.
 *
 * @param version the version of the lease's row; 0 where it does not exist
 */
public record WatchInput(long version) {

    static final WatchInput NONE = new WatchInput(0);
}
