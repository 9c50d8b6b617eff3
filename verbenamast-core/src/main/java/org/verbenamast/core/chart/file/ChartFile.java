package org.verbenamast.core.chart.file;

import java.util.List;
import java.util.Objects;

/**
 * The content of a chart file, before any name is resolved.
 *
 * @param chart the chart's name
 * @param about one sentence about the things that follow the chart
 * @param initial the name of the state of a new instance
 * @param states the states
 */
public record ChartFile(String chart, String about, String initial, List<StateEntry> states) {

    /** Checks the required fields and replaces a missing list by an empty one. */
    public ChartFile {
        Objects.requireNonNull(chart, "chart");
        Objects.requireNonNull(about, "about");
        Objects.requireNonNull(initial, "initial");
        states = states == null ? List.of() : List.copyOf(states);
    }

    /**
     * A state in the file.
     *
     * @param name the name
     * @param about one sentence about the state
     * @param last whether the state is final, that is, an instance ends when it enters it
     * @param tags the names of the state's tags
     * @param starts the names of timers that start on entry
     * @param cancels the names of timers that are cancelled on entry
     * @param on the transitions; the first one whose event and guard fit is used
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
     * A transition in the file.
     *
     * @param event the name of the event
     * @param when the name of the guard, or an empty string where it is always permitted
     * @param to the name of the target state, or an empty string for an internal transition
     * @param actions the names of the actions, in order
     */
    public record TransitionEntry(String event, String when, String to, List<String> actions) {

        /** Checks the required field and replaces missing optional fields by empty ones. */
        public TransitionEntry {
            Objects.requireNonNull(event, "event");
            when = when == null ? "" : when;
            to = to == null ? "" : to;
            actions = actions == null ? List.of() : List.copyOf(actions);
        }
    }
}
