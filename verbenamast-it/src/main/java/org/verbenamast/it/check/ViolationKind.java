package org.verbenamast.it.check;

/** The ways in which records can contradict the promises. */
public enum ViolationKind {
    /** Two backend servers ran requests of one slice under the same epoch. */
    TWO_OWNERS,
    /** A run under a lower epoch started after one under a higher epoch. */
    EPOCH_BACK,
    /** A run was still under way at one backend server when another ran a request of the same slice. */
    OVERLAP,
    /** A request that must not repeat ran more than once. */
    RAN_TWICE,
    /** A request ran although its caller was told that it did not. */
    FALSE_NOT_RUN,
    /** A request was answered although no record of a run exists. */
    ANSWERED_WITHOUT_RUN,
    /** A caller got something else than the whole answer to its own request. */
    WRONG_ANSWER
}
