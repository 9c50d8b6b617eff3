package org.verbenamast.core.chart;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.verbenamast.core.effect.Effects;

/**
 * The instances of one chart, by key, with their timers. Instances that reach a final state are removed. Belongs to one
 * loop: it is not safe for use by several threads.
 *
 * @param <K> the type of the keys
 * @param <E> the type of the events
 * @param <D> the type of the instances' data
 * @param <I> the type of the events' input
 */
public final class ChartInstances<K, E extends Enum<E>, D, I> {

    private static final int MAX_QUEUED_PER_INSTANCE = 2;
    private static final int CLEANUP_SLACK = 64;

    private final Chart<E, D, I> chart;
    private final Function<E, I> timerInput;
    private final TransitionListener listener;
    private final Map<K, Instance<D>> instances = new HashMap<>();
    private final PriorityQueue<QueuedDeadline<K>> queuedDeadlines = new PriorityQueue<>();

    /**
     * Makes an empty population.
     *
     * @param chart the chart that the instances follow
     * @param timerInput makes the input of an event that a timer fires
     * @param listener is told of each transition
     */
    public ChartInstances(Chart<E, D, I> chart, Function<E, I> timerInput, TransitionListener listener) {
        this.chart = Objects.requireNonNull(chart, "chart");
        this.timerInput = Objects.requireNonNull(timerInput, "timerInput");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Begins a life cycle under a key that has none.
     *
     * @param key the key
     * @param data the first data
     * @param now the monotonic time, in nanoseconds
     * @return the new instance
     */
    public Instance<D> begin(K key, D data, long now) {
        Instance<D> begun = chart.begin(data, now);
        put(key, begun);
        return begun;
    }

    /**
     * Fires an event at one instance.
     *
     * @param key the key
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return whether the instance exists and its state takes the event
     */
    public boolean fire(K key, E event, I input, long now, Effects effects) {
        Instance<D> at = instances.get(key);
        if (at == null) {
            return false;
        }
        Transition<D, I> taken = chart.selectTransition(at, event, input, now);
        if (taken == null) {
            return false;
        }
        Instance<D> next = chart.apply(taken, at, input, now, effects);
        put(key, next);
        listener.onTransition(chart.name(), key, event, taken, now);
        return true;
    }

    private void put(K key, Instance<D> next) {
        if (next.ended()) {
            instances.remove(key);
            dropStaleDeadlines();
            return;
        }
        Instance<D> before = instances.put(key, next);
        long due = next.deadlines().earliest();
        boolean known = before != null && before.deadlines().earliest() == due;
        if (due != Deadlines.NOT_ARMED && !known) {
            queuedDeadlines.add(new QueuedDeadline<>(due, key));
            dropStaleDeadlines();
        }
    }

    /**
     * Makes the queue anew from the instances once most of its alarms are of no use any more. Removing each alarm at
     * once would cost a search; this costs a constant time per alarm on average and bounds the queue by the instances.
     */
    private void dropStaleDeadlines() {
        if (queuedDeadlines.size() <= MAX_QUEUED_PER_INSTANCE * instances.size() + CLEANUP_SLACK) {
            return;
        }
        queuedDeadlines.clear();
        instances.forEach((key, instance) -> {
            long due = instance.deadlines().earliest();
            if (due != Deadlines.NOT_ARMED) {
                queuedDeadlines.add(new QueuedDeadline<>(due, key));
            }
        });
    }

    /** Returns how many alarms the queue holds, those of no use any more included. */
    int queuedDeadlines() {
        return queuedDeadlines.size();
    }

    /**
     * Fires the events of all timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        while (!queuedDeadlines.isEmpty() && queuedDeadlines.peek().due() <= now) {
            fireDue(queuedDeadlines.poll().key(), now, effects);
        }
    }

    private void fireDue(K key, long now, Effects effects) {
        Instance<D> at = instances.get(key);
        int timer = at == null ? -1 : at.deadlines().firstDue(now);
        if (timer < 0) {
            return;
        }
        E event = chart.eventOf(timer);
        put(key, chart.disarm(at, timer));
        fire(key, event, timerInput.apply(event), now, effects);
        Instance<D> after = instances.get(key);
        if (after != null && after.deadlines().earliest() <= now) {
            queuedDeadlines.add(new QueuedDeadline<>(now, key));
        }
    }

    /**
     * Returns when the next timer may be due.
     *
     * @return the monotonic time in nanoseconds, or {@link Deadlines#NOT_ARMED}
     */
    public long nextDue() {
        return queuedDeadlines.isEmpty()
                ? Deadlines.NOT_ARMED
                : queuedDeadlines.peek().due();
    }

    /**
     * Finds an instance.
     *
     * @param key the key
     * @return the instance, or null where there is none
     */
    public Instance<D> find(K key) {
        return instances.get(key);
    }

    /**
     * Drops an instance without firing an event at it.
     *
     * @param key the key
     */
    public void remove(K key) {
        if (instances.remove(key) != null) {
            dropStaleDeadlines();
        }
    }

    /**
     * Visits all instances; the visitor must not change the population.
     *
     * @param visitor is given each key and instance
     */
    public void forEach(BiConsumer<K, Instance<D>> visitor) {
        instances.forEach(visitor);
    }

    /**
     * Returns how many instances live.
     *
     * @return the number
     */
    public int size() {
        return instances.size();
    }

    private record QueuedDeadline<K>(long due, K key) implements Comparable<QueuedDeadline<K>> {
        @Override
        public int compareTo(QueuedDeadline<K> other) {
            return Long.compare(due, other.due);
        }
    }
}
