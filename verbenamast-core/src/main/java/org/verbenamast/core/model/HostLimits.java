package org.verbenamast.core.model;

import org.verbenamast.core.check.Checks;

/**
 * What the host grants to a node, as far as decisions depend on it.
 *
 * @param memoryMegabytes the memory above which the process is killed, in MB
 * @param descriptors the descriptors that the process may open, those for files included
 * @param linkMegabits the bandwidth of the host's link, in Mbit/s
 * @param cpuShare the share of the processor, as a ratio of one core at its usual speed
 */
public record HostLimits(long memoryMegabytes, long descriptors, double linkMegabits, double cpuShare) {

    /** The limits where the settings tell none. */
    public static final HostLimits DEFAULT = new HostLimits(430, 4_100, 1_000, 0.6);

    /** Checks that no limit is negative or zero where it has to be positive. */
    public HostLimits {
        Checks.positive("memoryMegabytes", memoryMegabytes);
        Checks.positive("descriptors", descriptors);
        Checks.finiteNotNegative("linkMegabits", linkMegabits);
        Checks.finiteNotNegative("cpuShare", cpuShare);
    }
}
