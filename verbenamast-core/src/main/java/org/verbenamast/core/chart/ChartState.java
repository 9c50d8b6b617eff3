package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

/**
 * A state of a loaded chart.
 *
 * @param index the zero-based position of the state in its chart
 * @param name the name in the chart file
 * @param about one sentence about the state
 * @param isFinal whether an instance ends when it enters this state
 * @param tagBits a bit set of the state's tags: bit n stands for the tag with ordinal n
 * @param starts the ordinals of the timers that are started on entry, after the cancellations
 * @param cancels the ordinals of the timers that are cancelled on entry
 */
public record ChartState(
        int index,
        String name,
        String about,
        boolean isFinal,
        long tagBits,
        List<Integer> starts,
        List<Integer> cancels) {

    /** Checks the name and copies the lists. */
    public ChartState {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(about, "about");
        starts = List.copyOf(starts);
        cancels = List.copyOf(cancels);
    }

    /**
     * Returns whether this state has a tag.
     *
     * @param tag a constant of the tag enum in the chart's vocabulary
     * @return whether the chart file lists the tag for this state
     */
    public boolean hasTag(Enum<?> tag) {
        return (tagBits & (1L << tag.ordinal())) != 0;
    }
}
