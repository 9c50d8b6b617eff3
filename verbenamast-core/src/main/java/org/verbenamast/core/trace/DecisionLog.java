package org.verbenamast.core.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;

import org.verbenamast.core.chart.Transition;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.check.Checks;

/** The last transitions that the charts of a node took, bounded in number. */
public final class DecisionLog implements TransitionListener {

    private final int capacity;
    private final Deque<Entry> entries = new ArrayDeque<>();

    /**
     * Makes an empty log.
     *
     * @param capacity the number of decisions that are kept
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
     * Lists decisions, the latest last.
     *
     * @param wanted which decisions to list
     * @return the decisions
     */
    public List<Decision> find(Predicate<Decision> wanted) {
        return entries.stream().map(Entry::decision).filter(wanted).toList();
    }

    private record Entry(long at, String chart, Object subject, Enum<?> event, Transition<?, ?> transition) {

        Decision decision() {
            String from = transition.from().name();
            String to = transition.to() == null ? from : transition.to().name();
            return new Decision(at, chart, subject.toString(), event.name(), transition.guardName(), from, to);
        }
    }
}
