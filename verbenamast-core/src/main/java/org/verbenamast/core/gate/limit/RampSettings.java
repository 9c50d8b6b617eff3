package org.verbenamast.core.gate.limit;

import org.verbenamast.core.check.Checks;

/**
 * How the concurrency limit of a cold backend server grows, and when the server counts as slow or silent. A cold server
 * is one that has just started, reconnected or shown overload, and may fail under its full load.
 *
 * @param coldLimit the concurrency limit of a cold backend server, in requests
 * @param successesPerStep the number of successful answers after which the limit grows by one
 * @param slowFactor the multiple of the usual latency above which a request counts as slow
 * @param slowFloorMillis the lowest threshold for slow requests, in milliseconds
 * @param silenceFactor the multiple of the usual interval between announcements after which the server counts as silent
 * @param silenceFloorMillis the shortest time without an announcement after which the server counts as silent, in
 *     milliseconds
 */
public record RampSettings(
        int coldLimit,
        int successesPerStep,
        int slowFactor,
        long slowFloorMillis,
        int silenceFactor,
        long silenceFloorMillis) {

    /** The default ramp: a backend server with ten slots reaches its full limit after 256 successful answers. */
    public static final RampSettings DEFAULT = new RampSettings(2, 32, 3, 20, 5, 1_000);

    /** Disables the ramp: each backend server gets its full limit at once. Baseline for comparisons. */
    public static final RampSettings NONE = new RampSettings(Integer.MAX_VALUE, 1, 1 << 20, 1 << 20, 5, 1_000);

    /** Checks that each setting is positive. */
    public RampSettings {
        Checks.positive("coldLimit", coldLimit);
        Checks.positive("successesPerStep", successesPerStep);
        Checks.positive("slowFactor", slowFactor);
        Checks.positive("slowFloorMillis", slowFloorMillis);
        Checks.positive("silenceFactor", silenceFactor);
        Checks.positive("silenceFloorMillis", silenceFloorMillis);
    }
}
