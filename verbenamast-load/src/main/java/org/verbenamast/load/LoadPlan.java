package org.verbenamast.load;

import java.util.List;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.model.Address;

/**
 * What load to send.
 *
 * @param targets where nodes listen for callers
 * @param paths the paths to ask for; {@code %d} stands for a random key
 * @param rate requests per second in all
 * @param seconds how long to send, in seconds
 * @param keys how many different keys to use
 * @param seed the seed of the random choices
 */
public record LoadPlan(List<Address> targets, List<String> paths, int rate, int seconds, int keys, long seed) {

    /** Checks the numbers and copies the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        paths = List.copyOf(paths);
        Checks.positive("targets", targets.size());
        Checks.positive("paths", paths.size());
        Checks.positive("rate", rate);
        Checks.positive("seconds", seconds);
        Checks.positive("keys", keys);
    }
}
