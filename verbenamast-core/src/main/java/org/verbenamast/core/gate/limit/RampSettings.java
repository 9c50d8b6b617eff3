package org.verbenamast.core.gate.limit;

import org.verbenamast.core.check.Checks;

/**
 * How the concurrency of a cold backend server grows.
 *
 * @param coldLimit how many requests a cold backend server may run at once
 * @param successesPerStep how many answers let the limit grow by one
 * @param slowFactor how many times the usual latency a request lasts that counts as slow
 * @param slowFloorMillis the least latency that counts as slow, in milliseconds
 * @param silenceFactor how many times the usual pause without an announcement counts as silence
 * @param silenceFloorMillis the least pause without an announcement that counts as silence, in milliseconds
 */
public record RampSettings(
        int coldLimit,
        int successesPerStep,
        int slowFactor,
        long slowFloorMillis,
        int silenceFactor,
        long silenceFloorMillis) {

    /** A ramp that takes a backend server with ten slots from cold to full in 256 answers. */
    public static final RampSettings DEFAULT = new RampSettings(2, 32, 3, 20, 5, 1_000);

    /** Settings that give each backend server its full limit at once. A baseline. */
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
