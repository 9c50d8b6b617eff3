package org.verbenamast.core.watch;

import org.verbenamast.core.check.Checks;

/**
 * What a node knows of the followed tables, as it tells other nodes with what it sends them anyway. Who knows less asks
 * the store at once; who knows as much need not ask to find out whether its own call to the store was lost.
 *
 * @param operatorsVersion the version of the newest row that operators wrote; 0 where none is known
 * @param operatorsAgeMillis how long ago the store last answered the node that tells this, in milliseconds; what that
 *     node heard from others is left out, so that no news is made young by going round
 * @param sharedVersion the version of the newest owners of keys; 0 where none are known
 */
public record StoreVersions(long operatorsVersion, long operatorsAgeMillis, long sharedVersion) {

    /** Nothing is known. */
    public static final StoreVersions NONE = new StoreVersions(0, 0, 0);

    /** Checks the numbers. */
    public StoreVersions {
        Checks.notNegative("operatorsVersion", operatorsVersion);
        Checks.notNegative("operatorsAgeMillis", operatorsAgeMillis);
        Checks.notNegative("sharedVersion", sharedVersion);
    }
}
