package org.verbenamast.core.watch;

/** The tags of states in the chart of the store's era. */
public enum EraTag {
    /** What the store lost with the last era has been written again, or is gone for good. */
    CONFIRMED
}
