package org.verbenamast.core.admission;

import org.verbenamast.core.check.Checks;

/**
 * The load of a server, as its admission controller reports it.
 *
 * @param running the requests that the server is running
 * @param queued the requests that are queued in front of the server
 * @param slots the requests that the server can run at once
 * @param serviceMillis how long a request occupies a slot, in milliseconds, as a moving average
 * @param cold whether the server is cold: recently started and limited to a lower rate
 * @param stopping whether the node beside it is stopping
 */
public record AdmissionLoad(int running, int queued, int slots, int serviceMillis, boolean cold, boolean stopping) {

    /** Checks the numbers. */
    public AdmissionLoad {
        Checks.notNegative("running", running);
        Checks.notNegative("queued", queued);
        Checks.notNegative("slots", slots);
        Checks.notNegative("serviceMillis", serviceMillis);
    }
}
