package org.verbenamast.core.fleet;

/** A check that fails the schedule. */
final class Invariant {

    private Invariant() {}

    static void require(boolean condition, String what) {
        if (!condition) {
            throw new AssertionError("broken invariant: " + what);
        }
    }
}
