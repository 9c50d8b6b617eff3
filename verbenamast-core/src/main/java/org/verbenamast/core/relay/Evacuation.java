package org.verbenamast.core.relay;

import org.verbenamast.core.node.Timing;

/**
 * Whether operators have evacuated this node's availability zone, that is, taken it out of service, and until when its
 * keys are still served.
 */
final class Evacuation {

    /** Time for which keys are still served after an evacuation; half of what the platform allows. */
    private static final long KEYED_GRACE_NANOS = Timing.millisToNanos(2_500);

    private boolean known;
    private boolean evacuated;
    private long keyedUntil;

    /**
     * Records whether the zone is evacuated. A node that has just started does not know since when, so that it serves
     * no keys of an evacuated zone.
     */
    void update(boolean nowEvacuated, long now) {
        if (nowEvacuated && !evacuated) {
            keyedUntil = known ? now + KEYED_GRACE_NANOS : now;
        }
        known = true;
        evacuated = nowEvacuated;
    }

    /**
     * Returns whether a request must not reach the server. None may before the node has read which zones are evacuated.
     */
    boolean refuses(boolean keyed, long now) {
        return !known || evacuated && (!keyed || now >= keyedUntil);
    }
}
