package org.verbenamast.core.fleet;

/** Checks invariants of a fleet; a violation fails the test. */
final class Invariant {

    private Invariant() {}

    static void require(boolean condition, String description) {
        if (!condition) {
            throw new AssertionError("invariant violated: " + description);
        }
    }
}
