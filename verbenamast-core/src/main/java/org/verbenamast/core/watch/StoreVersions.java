package org.verbenamast.core.watch;

import org.verbenamast.core.check.Checks;

/**
 * The versions of the followed tables that a node knows, which it sends along with its messages to other nodes. A
 * receiver that knows less asks the store at once. A receiver that knows as much need not ask to find out whether its
 * own call to the store was lost.
 *
 * @param operatorsVersion the version of the newest known row that operators wrote; 0 where none is known
 * @param operatorsAgeMillis how long ago the store last answered the sending node itself, in milliseconds. Answers to
 *     other nodes are left out, so that an old answer can't appear recent by circulating among the nodes
 * @param sharedVersion the version of the newest known row with owners of keys; 0 where none is known
 */
public record StoreVersions(long operatorsVersion, long operatorsAgeMillis, long sharedVersion) {

    /** The versions of a node that knows no rows. */
    public static final StoreVersions NONE = new StoreVersions(0, 0, 0);

    /** Checks that no number is negative. */
    public StoreVersions {
        Checks.notNegative("operatorsVersion", operatorsVersion);
        Checks.notNegative("operatorsAgeMillis", operatorsAgeMillis);
        Checks.notNegative("sharedVersion", sharedVersion);
    }
}
