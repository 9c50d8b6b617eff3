package org.verbenamast.load;

/** How a request of a load ended. */
enum LoadOutcome {
    /** A backend server answered. */
    ANSWERED,
    /** Refused, and not run. */
    NOT_RUN,
    /** Whether it ran is unknown. */
    UNKNOWN,
    /** There was no usable reply. */
    FAILED
}
