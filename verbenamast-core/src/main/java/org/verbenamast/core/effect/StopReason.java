package org.verbenamast.core.effect;

/** The reason why a node stops. The text of each constant is part of a log line. */
public enum StopReason {
    /** The node was asked to stop and has nothing left to do. */
    ASKED("it was asked to stop"),
    /** Other members have marked this incarnation as ended, so only a new one may serve. */
    ENDED_BY_OTHERS("other members have ended this incarnation"),
    /** The node's lease expired so long ago that its slices may have other owners. */
    LEASE_OVER("its lease was over for too long");

    private final String text;

    StopReason(String text) {
        this.text = text;
    }

    /**
     * Returns whether the host should start the node again, as a new incarnation.
     *
     * @return true for all reasons except that the node was asked to stop
     */
    public boolean restarts() {
        return this != ASKED;
    }

    @Override
    public String toString() {
        return text;
    }
}
