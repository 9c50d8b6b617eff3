package org.verbenamast.core.chart;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.verbenamast.core.effect.Effects;

/**
 * The instances of one chart, by key, with their timers. An instance that reaches a final state is removed. Not
 * thread-safe: only the loop that owns it may use it.
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
     * Creates an empty collection of instances.
     *
     * @param chart the chart that the instances follow
     * @param timerInput creates the input of an event that a timer fires
     * @param listener notified of each transition
     */
    public ChartInstances(Chart<E, D, I> chart, Function<E, I> timerInput, TransitionListener listener) {
        this.chart = Objects.requireNonNull(chart, "chart");
        this.timerInput = Objects.requireNonNull(timerInput, "timerInput");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates an instance in the initial state, under a key that has no instance.
     *
     * @param key the key
     * @param data the initial data
     * @param now the monotonic time, in nanoseconds
     * @return the new instance
     */
    public Instance<D> begin(K key, D data, long now) {
        Instance<D> created = chart.begin(data, now);
        put(key, created);
        return created;
    }

    /**
     * Fires an event at one instance and notifies the listener of the transition.
     *
     * @param key the key
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return whether the instance exists and the event triggered a transition
     */
    public boolean fire(K key, E event, I input, long now, Effects effects) {
        Instance<D> instance = instances.get(key);
        if (instance == null) {
            return false;
        }
        Transition<D, I> transition = chart.selectTransition(instance, event, input, now);
        if (transition == null) {
            return false;
        }
        Instance<D> next = chart.apply(transition, instance, input, now, effects);
        put(key, next);
        listener.onTransition(chart.name(), key, event, transition, now);
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
        boolean alreadyQueued = before != null && before.deadlines().earliest() == due;
        if (due != Deadlines.NOT_ARMED && !alreadyQueued) {
            queuedDeadlines.add(new QueuedDeadline<>(due, key));
            dropStaleDeadlines();
        }
    }

    /**
     * Rebuilds the queue from the instances once most of its deadlines are stale. Removing each stale deadline
     * immediately would cost a linear search; rebuilding takes amortized constant time per deadline and bounds the
     * queue's size by the number of instances.
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

    /** Returns the number of deadlines in the queue, including stale ones. */
    int queuedDeadlines() {
        return queuedDeadlines.size();
    }

    /**
     * Fires the events of all timers that are due, including those that an event of this call starts without a delay.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        while (!queuedDeadlines.isEmpty() && queuedDeadlines.peek().due() <= now) {
            fireDue(queuedDeadlines.poll().key(), now, effects);
        }
    }

    private void fireDue(K key, long now, Effects effects) {
        Instance<D> instance = instances.get(key);
        int timer = instance == null ? -1 : instance.deadlines().firstDue(now);
        if (timer < 0) {
            return;
        }
        E event = chart.eventOf(timer);
        put(key, chart.disarm(instance, timer));
        fire(key, event, timerInput.apply(event), now, effects);
        Instance<D> after = instances.get(key);
        if (after != null && after.deadlines().earliest() <= now) {
            queuedDeadlines.add(new QueuedDeadline<>(now, key));
        }
    }

    /**
     * Returns the time at which the next timer may be due. It can be too early: the queue may hold deadlines of
     * cancelled timers.
     *
     * @return the monotonic time in nanoseconds, or {@link Deadlines#NOT_ARMED}
     */
    public long nextDue() {
        return queuedDeadlines.isEmpty()
                ? Deadlines.NOT_ARMED
                : queuedDeadlines.peek().due();
    }

    /**
     * Finds the instance of a key.
     *
     * @param key the key
     * @return the instance, or null where there is none
     */
    public Instance<D> find(K key) {
        return instances.get(key);
    }

    /**
     * Removes an instance without firing an event; its timers are dropped and the listener is not notified.
     *
     * @param key the key
     */
    public void remove(K key) {
        if (instances.remove(key) != null) {
            dropStaleDeadlines();
        }
    }

    /**
     * Visits all instances in no particular order; the visitor must not add or remove instances.
     *
     * @param visitor called with each key and instance
     */
    public void forEach(BiConsumer<K, Instance<D>> visitor) {
        instances.forEach(visitor);
    }

    /**
     * Returns the number of instances that have not reached a final state.
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
