package org.verbenamast.core.relay;

import org.verbenamast.core.node.Timing;

/** Whether this node's availability zone is out, and for how long its keys are still served. */
final class Evacuation {

    /** Time for which keys are still served, in nanoseconds; half of what the platform allows. */
    private static final long GRACE = Timing.millisToNanos(2_500);

    private boolean known;
    private boolean out;
    private long keyedUntil;

    /** Takes whether the zone is out; a node that has just started does not know for how long it has been. */
    void noted(boolean nowOut, long now) {
        if (nowOut && !out) {
            keyedUntil = known ? now + GRACE : now;
        }
        known = true;
        out = nowOut;
    }

    /** Tells whether a request must not reach the server; none may before the node has read which zones are out. */
    boolean refuses(boolean keyed, long now) {
        return !known || out && (!keyed || now >= keyedUntil);
    }
}
