package org.verbenamast.core.keys;

/**
 * The input of a watched lease's events.
 *
 * @param version the version of the row of the lease; 0 if it does not exist
 */
public record LeaseWatchInput(long version) {

    static final LeaseWatchInput NONE = new LeaseWatchInput(0);
}
