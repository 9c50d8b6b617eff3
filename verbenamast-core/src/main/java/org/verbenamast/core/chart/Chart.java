package org.verbenamast.core.chart;

import java.util.List;
import java.util.Objects;

import org.verbenamast.core.effect.Effects;

/**
 * A loaded state chart: it answers an event with the instance's next state, data and effects. Names are resolved when
 * the chart is loaded, so that a transition costs two array reads and its actions.
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
     * Makes a chart from resolved parts. Use {@code ChartReader} to load one from a file with all checks.
     *
     * @param name the name
     * @param about one sentence on what follows this chart
     * @param initial the state in which instances begin
     * @param states all states, by index
     * @param events all events, by ordinal
     * @param timers all timers, by ordinal
     * @param transitions all transitions, in file order
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
                int at = state;
                int on = event;
                table[state][event] = all.stream()
                        .filter(t -> t.from().index() == at && t.event() == on)
                        .toList();
            }
        }
        return table;
    }

    /**
     * Begins a life cycle.
     *
     * @param data the first data
     * @param now the monotonic time, in nanoseconds
     * @return an instance in the initial state, with that state's timers armed
     */
    public Instance<D> begin(D data, long now) {
        return enterState(initial, data, Deadlines.none(), now);
    }

    /**
     * Answers an event. An event that the state does not take changes nothing, and the same instance is returned.
     *
     * @param at the instance before the event
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return the instance after the event
     */
    public Instance<D> fire(Instance<D> at, E event, I input, long now, Effects effects) {
        Transition<D, I> taken = selectTransition(at, event, input, now);
        return taken == null ? at : apply(taken, at, input, now, effects);
    }

    /**
     * Finds the transition that an event would take: the first in file order whose guard permits it.
     *
     * @param at the instance
     * @param event the event
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @return the transition, or null where the state does not take the event
     */
    public Transition<D, I> selectTransition(Instance<D> at, E event, I input, long now) {
        List<Transition<D, I>> candidates = table[at.state().index()][event.ordinal()];
        for (int i = 0; i < candidates.size(); i++) {
            Transition<D, I> candidate = candidates.get(i);
            if (candidate.permits(at.data(), input, now)) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Follows a transition that {@link #selectTransition} returned.
     *
     * @param taken the transition
     * @param at the instance
     * @param input the event's input
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     * @return the instance after the transition
     */
    public Instance<D> apply(Transition<D, I> taken, Instance<D> at, I input, long now, Effects effects) {
        D data = at.data();
        for (Action<D, I> action : taken.actions()) {
            data = action.apply(data, input, now, effects);
        }
        return taken.to() == null ? at.with(data) : enterState(taken.to(), data, at.deadlines(), now);
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
     * Returns an instance with a timer taken off, together with nothing else changed.
     *
     * @param at the instance
     * @param timer the timer's ordinal
     * @return the instance without that timer armed
     */
    public Instance<D> disarm(Instance<D> at, int timer) {
        return new Instance<>(at.state(), at.data(), at.deadlines().withoutTimer(timer));
    }

    /**
     * Returns the event that a timer fires.
     *
     * @param timer the timer's ordinal
     * @return the event
     */
    public E eventOf(int timer) {
        return timers.get(timer).fires();
    }

    /**
     * Returns the chart's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns one sentence on what follows this chart.
     *
     * @return the sentence
     */
    public String about() {
        return about;
    }

    /**
     * Returns the state in which instances begin.
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
     * Returns all events of the vocabulary.
     *
     * @return the events by ordinal
     */
    public List<E> events() {
        return events;
    }
}
