package org.verbenamast.core.effect;

/** Why a node exits. */
public enum StopReason {
    /** It was asked to stop and has nothing left to do. */
    ASKED("it was asked to stop"),
    /** Other members have ended this incarnation, so that only another one can serve. */
    ENDED_BY_OTHERS("other members have ended this incarnation"),
    /** Its lease has been over for so long that its slices may have other owners. */
    LEASE_OVER("its lease was over for too long");

    private final String text;

    StopReason(String text) {
        this.text = text;
    }

    /**
     * Tells whether the host is to start the node again, as another incarnation.
     *
     * @return whether it was not asked to stop
     */
    public boolean restarts() {
        return this != ASKED;
    }

    @Override
    public String toString() {
        return text;
    }
}
