package org.verbenamast.core.relay;

import org.verbenamast.core.node.Timing;

/** Whether this node's availability zone is out, and for how long its keys are still served. */
final class Evacuation {

    /** Time for which keys are still served, in nanoseconds; half of what the platform allows. */
    private static final long KEYED_GRACE_NANOS = Timing.nanos(2_500);

    private boolean known;
    private boolean evacuated;
    private long keyedUntil;

    /** Takes whether the zone is out; a node that has just started does not know for how long it has been. */
    void update(boolean nowOut, long now) {
        if (nowOut && !evacuated) {
            keyedUntil = known ? now + KEYED_GRACE_NANOS : now;
        }
        known = true;
        evacuated = nowOut;
    }

    /** Tells whether a request must not reach the server; none may before the node has read which zones are out. */
    boolean refuses(boolean keyed, long now) {
        return !known || evacuated && (!keyed || now >= keyedUntil);
    }
}
