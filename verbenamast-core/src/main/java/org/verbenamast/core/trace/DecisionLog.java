package org.verbenamast.core.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.check.Checks;

/** Keeps the latest transitions of a node's charts and drops the oldest ones beyond its capacity. */
public final class DecisionLog implements TransitionListener {

    private final int capacity;
    private final Deque<Entry> entries = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param capacity the maximum number of decisions to keep; at least 1
     */
    public DecisionLog(int capacity) {
        this.capacity = (int) Checks.positive("capacity", capacity);
    }

    @Override
    public void onTransition(String chart, Object subject, Enum<?> event, Transition<?, ?> transition, long now) {
        if (entries.size() == capacity) {
            entries.removeFirst();
        }
        entries.addLast(new Entry(now, chart, subject, event, transition));
    }

    /**
     * Returns the matching decisions, the latest last.
     *
     * @param filter matches the decisions to return
     * @return the decisions
     */
    public List<Decision> find(Predicate<Decision> filter) {
        return entries.stream().map(Entry::decision).filter(filter).toList();
    }

    private record Entry(long at, String chart, Object subject, Enum<?> event, Transition<?, ?> transition) {

        Decision decision() {
            String from = transition.from().name();
            String to = transition.to() == null ? from : transition.to().name();
            return new Decision(at, chart, subject.toString(), event.name(), transition.guardName(), from, to);
        }
    }
}
