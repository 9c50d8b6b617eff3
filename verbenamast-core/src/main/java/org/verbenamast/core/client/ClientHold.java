package org.verbenamast.core.client;

import org.verbenamast.core.check.Checks;

/**
 * What one client makes the process hold.
 *
 * @param bytes the bytes held, with the weight of the objects that they became
 * @param progressAt the monotonic time at which the client last read or sent anything that counts, in nanoseconds
 */
public record ClientHold(long bytes, long progressAt) {

    /** Checks the number. */
    public ClientHold {
        Checks.notNegative("bytes", bytes);
    }
}
