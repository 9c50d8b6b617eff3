package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

/**
 * A state of a loaded chart.
 *
 * @param index the position of the state in its chart
 * @param name the name in the chart file
 * @param about one sentence on the state
 * @param isFinal whether the life cycle ends here
 * @param tagBits one bit per tag constant, by ordinal
 * @param starts the ordinals of the timers that start on entry
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
     * Tells whether the chart file marks this state with a tag.
     *
     * @param tag the tag
     * @return whether the state carries the tag
     */
    public boolean hasTag(Enum<?> tag) {
        return (tagBits & (1L << tag.ordinal())) != 0;
    }
}
