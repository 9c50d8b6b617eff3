package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effects;

/**
 * A state machine that was loaded from a chart file. Given an event, it computes the instance's next state and data and
 * emits effects. A chart is immutable; the {@link Instance} holds the state. All names are resolved at load time, so an
 * event costs two array reads plus the guards and actions.
 *
 * <pre>{@code
 * Instance<RequestData> request = chart.begin(data, now);
 * Instance<RequestData> next = chart.fire(request, RequestEvent.ANSWERED, input, now, effects);
 * }</pre>
 *
 * @param <E> the type of the events
 * @param <D> the type of the instances' data
 * @param <I> the type of the events' input
 */
public final class Chart<E extends Enum<E>, D, I> {

    private final String name;
    private final String about;
    private final ChartState initial;
    private final List<ChartState> states;
    private final List<E> events;
    private final List<TimerRule<E, D>> timers;
    private final List<Transition<D, I>>[][] table;

    /**
     * Creates a chart from resolved parts, without checks. {@code ChartReader} loads one from a file and checks it.
     *
     * @param name the name, as it appears in logs
     * @param about one sentence about the things that follow this chart
     * @param initial the state of a new instance
     * @param states all states, by index
     * @param events all events, by ordinal
     * @param timers all timers, by ordinal
     * @param transitions all transitions, in file order; the first one whose guard permits it is used
     */
    public Chart(
            String name,
            String about,
            ChartState initial,
            List<ChartState> states,
            List<E> events,
            List<TimerRule<E, D>> timers,
            List<Transition<D, I>> transitions) {
        this.name = Objects.requireNonNull(name, "name");
        this.about = Objects.requireNonNull(about, "about");
        this.initial = Objects.requireNonNull(initial, "initial");
        this.states = List.copyOf(states);
        this.events = List.copyOf(events);
        this.timers = List.copyOf(timers);
        this.table = tableOf(this.states.size(), this.events.size(), transitions);
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private static <D, I> List<Transition<D, I>>[][] tableOf(int states, int events, List<Transition<D, I>> all) {
        List<Transition<D, I>>[][] table = new List[states][events];
        for (int state = 0; state < states; state++) {
            for (int event = 0; event < events; event++) {
                int fromState = state;
                int onEvent = event;
                table[state][event] = all.stream()
                        .filter(t -> t.from().index() == fromState && t.event() == onEvent)
                        .toList();
            }
        }
        return table;
    }

    /**
     * Creates an instance in the initial state.
     *
     * @param data the initial data
     * @param now the monotonic time, in nanoseconds
     * @return the instance, with the timers of the initial state armed
     */
    public Instance<D> begin(D data, long now) {
        return enterState(initial, data, Deadlines.none(), now);
    }

    /**
     * Handles an event. An event without a permitted transition in the current state is ignored.
     *
     * @param instance the instance before the event
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return the instance after the event; the same instance where the event is ignored
     */
    public Instance<D> fire(Instance<D> instance, E event, I input, long now, Effects effects) {
        Transition<D, I> transition = selectTransition(instance, event, input, now);
        return transition == null ? instance : apply(transition, instance, input, now, effects);
    }

    /**
     * Finds the transition that an event triggers: the first in file order whose guard permits it. Changes nothing.
     *
     * @param instance the instance
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return the transition, or null where the event is ignored in the current state
     */
    public Transition<D, I> selectTransition(Instance<D> instance, E event, I input, long now) {
        List<Transition<D, I>> candidates = table[instance.state().index()][event.ordinal()];
        for (int i = 0; i < candidates.size(); i++) {
            Transition<D, I> candidate = candidates.get(i);
            if (candidate.permits(instance.data(), input, now)) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Runs the actions of a transition that {@link #selectTransition} returned, then enters its target state.
     *
     * @param transition the transition
     * @param instance the instance
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     * @return the instance after the transition
     */
    public Instance<D> apply(Transition<D, I> transition, Instance<D> instance, I input, long now, Effects effects) {
        D data = instance.data();
        for (Action<D, I> action : transition.actions()) {
            data = action.apply(data, input, now, effects);
        }
        return transition.to() == null
                ? instance.with(data)
                : enterState(transition.to(), data, instance.deadlines(), now);
    }

    private Instance<D> enterState(ChartState state, D data, Deadlines carried, long now) {
        Deadlines deadlines = carried;
        for (int timer : state.cancels()) {
            deadlines = deadlines.withoutTimer(timer);
        }
        for (int timer : state.starts()) {
            deadlines = deadlines.withTimer(timer, now + timers.get(timer).delayNanos(data, now));
        }
        return new Instance<>(state, data, deadlines);
    }

    /**
     * Returns a copy of an instance in which one timer is not armed.
     *
     * @param instance the instance
     * @param timer the timer's ordinal
     * @return the changed instance
     */
    public Instance<D> disarm(Instance<D> instance, int timer) {
        return new Instance<>(
                instance.state(), instance.data(), instance.deadlines().withoutTimer(timer));
    }

    /**
     * Returns the event that is fired when a timer is due.
     *
     * @param timer the timer's ordinal
     * @return the event
     */
    public E eventOf(int timer) {
        return timers.get(timer).fires();
    }

    /**
     * Returns the chart's name as it appears in logs.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns one sentence about the things that follow this chart.
     *
     * @return the sentence
     */
    public String about() {
        return about;
    }

    /**
     * Returns the state of a new instance.
     *
     * @return the initial state
     */
    public ChartState initial() {
        return initial;
    }

    /**
     * Returns all states in file order.
     *
     * @return the states
     */
    public List<ChartState> states() {
        return states;
    }

    /**
     * Returns the transitions that leave a state on an event, in file order.
     *
     * @param state the state
     * @param event the event
     * @return the transitions
     */
    public List<Transition<D, I>> transitions(ChartState state, E event) {
        return table[state.index()][event.ordinal()];
    }

    /**
     * Returns all events of the vocabulary, whether or not a state handles them.
     *
     * @return the events, by ordinal
     */
    public List<E> events() {
        return events;
    }
}
