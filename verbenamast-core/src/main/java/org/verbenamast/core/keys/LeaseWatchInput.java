package org.verbenamast.core.keys;

/**
 * The input of a watched lease's events.
 *
 * @param version the version of the lease's row; 0 where it does not exist
 */
public record LeaseWatchInput(long version) {

    static final LeaseWatchInput NONE = new LeaseWatchInput(0);
}
