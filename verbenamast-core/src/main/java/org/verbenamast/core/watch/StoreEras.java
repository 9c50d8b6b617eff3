package org.verbenamast.core.watch;

/** What a node knows of the era of the store. */
public interface StoreEras {

    /**
     * Returns the era of the store.
     *
     * @return the highest era that this node knows; 0 if the store has told none
     */
    long era();

    /**
     * Returns whether the era is the first that this node has known since it started.
     *
     * @return false if the store has come back from an older copy since this node first knew its era
     */
    boolean isFirst();

    /**
     * Returns whether what the store lost with the last era has been written again, as far as it ever will be, and all
     * leases of the former era have expired.
     *
     * @return whether the time for that has elapsed
     */
    boolean isConfirmed();

    /**
     * Returns when this node learned the era.
     *
     * @return the monotonic time, in nanoseconds; 0 in era 0
     */
    long learnedAt();

    /**
     * Returns since when the era is confirmed.
     *
     * @return the monotonic time, in nanoseconds; 0 in era 0 and while it is not confirmed
     */
    long confirmedAt();
}
