package org.verbenamast.core.watch;

/** The events of the chart of the store's era. */
public enum EraEvent {
    /** An answer of the store or a message of another node tells a higher era than any before. */
    NEW_ERA,
    /** A followed table has been read whole in the new era. */
    TABLE_READ,
    /** The time in which operators and other nodes write again what the store has lost has elapsed. */
    CONFIRMED
}
