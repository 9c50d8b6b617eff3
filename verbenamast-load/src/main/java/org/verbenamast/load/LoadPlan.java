package org.verbenamast.load;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;

/**
 * What load to send.
 *
 * @param targets where to send requests, in turn
 * @param kind what the targets are
 * @param paths the paths to ask for; {@code %d} stands for a random key
 * @param rate requests per second in all
 * @param seconds how long to send, in seconds
 * @param keys how many different keys to use
 * @param seed the seed of the random choices
 */
public record LoadPlan(
        List<Address> targets, TargetKind kind, List<String> paths, int rate, int seconds, int keys, long seed) {

    /** Checks the numbers and copies the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        paths = List.copyOf(paths);
        Objects.requireNonNull(kind, "kind");
        Checks.positive("targets", targets.size());
        Checks.positive("paths", paths.size());
        Checks.positive("rate", rate);
        Checks.positive("seconds", seconds);
        Checks.positive("keys", keys);
    }

    /**
     * Returns this plan for another time.
     *
     * @param newSeconds how long to send, in seconds
     * @return the changed plan
     */
    public LoadPlan lasting(int newSeconds) {
        return new LoadPlan(targets, kind, paths, rate, newSeconds, keys, seed);
    }

    long requests() {
        return (long) rate * seconds;
    }
}
