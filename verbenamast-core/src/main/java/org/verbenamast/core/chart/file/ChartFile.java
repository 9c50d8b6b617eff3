package org.verbenamast.core.chart.file;

import java.util.List;
import java.util.Objects;

/**
 * A chart as its file has it, before any name is resolved.
 *
 * @param chart the chart's name
 * @param about one sentence on what follows the chart
 * @param initial the name of the state in which instances begin
 * @param states the states
 */
public record ChartFile(String chart, String about, String initial, List<StateEntry> states) {

    /** Checks the required fields and copies the list. */
    public ChartFile {
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(about, "about");
        Objects.requireNonNull(initial, "initial");
        states = states == null ? List.of() : List.copyOf(states);
    }

    /**
     * A state as the file has it.
     *
     * @param name the name
     * @param about one sentence on the state
     * @param last whether the life cycle ends here
     * @param tags the names of tags
     * @param starts the names of timers that start on entry
     * @param cancels the names of timers that are cancelled on entry
     * @param on the transitions, in order of choice
     */
    public record StateEntry(
            String name,
            String about,
            boolean last,
            List<String> tags,
            List<String> starts,
            List<String> cancels,
            List<TransitionEntry> on) {

        /** Checks the required fields and replaces missing lists by empty ones. */
        public StateEntry {
            Objects.requireNonNull(name, "name");
            Objects.requireNonNull(about, "about");
            tags = tags == null ? List.of() : List.copyOf(tags);
            starts = starts == null ? List.of() : List.copyOf(starts);
            cancels = cancels == null ? List.of() : List.copyOf(cancels);
            on = on == null ? List.of() : List.copyOf(on);
        }
    }

    /**
     * A transition as the file has it.
     *
     * @param event the name of the event
     * @param when the name of the guard, or an empty text
     * @param to the name of the next state, or an empty text where the instance stays
     * @param actions the names of the actions, in order
     */
    public record TransitionEntry(String event, String when, String to, List<String> actions) {

        /** Checks the required fields and replaces missing ones by empty ones. */
        public TransitionEntry {
            Objects.requireNonNull(event, "event");
            when = when == null ? "" : when;
            to = to == null ? "" : to;
            actions = actions == null ? List.of() : List.copyOf(actions);
        }
    }
}
