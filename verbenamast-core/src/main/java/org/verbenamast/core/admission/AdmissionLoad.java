package org.verbenamast.core.admission;

import org.verbenamast.core.check.Checks;

/**
 * How busy a server is, as the gate in front of it tells.
 *
 * @param running the requests that it runs
 * @param queued the requests that wait at the gate
 * @param slots the requests that it runs at once
 * @param serviceMillis how long a request occupies a slot lately, in milliseconds
 * @param cold whether it has just started
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
