package org.verbenamast.core.chart.file;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenamast.core.chart.TimerRule;
import org.verbenamast.core.chart.Vocabulary;

/** Checks a chart file before its names are resolved: first all names, then the structure of the state machine. */
final class ChartChecks {

    private final ChartFile file;
    private final Vocabulary<?, ?, ?, ?, ?> vocabulary;
    private final List<ChartFault> faults = new ArrayList<>();

    ChartChecks(ChartFile file, Vocabulary<?, ?, ?, ?, ?> vocabulary) {
        this.file = file;
        this.vocabulary = vocabulary;
    }

    List<ChartFault> faults() {
        checkNames();
        if (faults.isEmpty()) {
            checkReachable();
            file.states().forEach(this::checkExits);
            file.states().forEach(this::checkAmbiguity);
            faults.addAll(new TimerFlow(file, eventsOfTimers()).faults());
        }
        return faults;
    }

    private void checkNames() {
        Set<String> states = new HashSet<>();
        for (ChartFile.StateEntry state : file.states()) {
            if (!states.add(state.name())) {
                faults.add(ChartFault.shouldBeUnique(file.chart(), state.name()));
            }
        }
        checkKnown("state", "(initial)", file.initial(), states);
        file.states().forEach(state -> checkNames(state, states));
    }

    private void checkNames(ChartFile.StateEntry state, Set<String> states) {
        Set<String> timers = constantNames(vocabulary.timers());
        Set<String> tags = constantNames(vocabulary.tags());
        state.starts().forEach(timer -> checkKnown("timer", state.name(), timer, timers));
        state.cancels().forEach(timer -> checkKnown("timer", state.name(), timer, timers));
        state.tags().forEach(tag -> checkKnown("tag", state.name(), tag, tags));
        for (ChartFile.TransitionEntry transition : state.on()) {
            checkNames(state.name(), transition, states);
        }
    }

    private void checkNames(String state, ChartFile.TransitionEntry transition, Set<String> states) {
        Set<String> actions = constantNames(vocabulary.actions());
        checkKnown("event", state, transition.event(), constantNames(vocabulary.events()));
        transition.actions().forEach(action -> checkKnown("action", state, action, actions));
        if (!transition.when().isEmpty()) {
            checkKnown("guard", state, transition.when(), constantNames(vocabulary.guards()));
        }
        if (!transition.to().isEmpty()) {
            checkKnown("state", state, transition.to(), states);
        }
    }

    private void checkKnown(String nameKind, String state, String name, Collection<String> names) {
        if (!names.contains(name)) {
            faults.add(ChartFault.shouldNameKnown(file.chart(), nameKind, state, name, names));
        }
    }

    private static Set<String> constantNames(Class<? extends Enum<?>> type) {
        Set<String> names = new HashSet<>();
        Arrays.stream(type.getEnumConstants()).forEach(constant -> names.add(constant.name()));
        return names;
    }

    private void checkReachable() {
        Map<String, ChartFile.StateEntry> byName = new HashMap<>();
        file.states().forEach(state -> byName.put(state.name(), state));
        Set<String> reached = new HashSet<>(Set.of(file.initial()));
        Deque<String> unvisited = new ArrayDeque<>(reached);
        while (!unvisited.isEmpty()) {
            for (ChartFile.TransitionEntry transition :
                    byName.get(unvisited.pop()).on()) {
                if (!transition.to().isEmpty() && reached.add(transition.to())) {
                    unvisited.push(transition.to());
                }
            }
        }
        file.states().stream()
                .filter(state -> !reached.contains(state.name()))
                .forEach(state -> faults.add(ChartFault.shouldBeReachable(file.chart(), state.name())));
    }

    private void checkExits(ChartFile.StateEntry state) {
        boolean hasExit = state.on().stream().anyMatch(t -> leaves(state, t));
        if (!state.last() && !hasExit) {
            faults.add(ChartFault.shouldHaveExit(file.chart(), state.name()));
        }
        if (state.last() && !(state.on().isEmpty() && state.starts().isEmpty())) {
            faults.add(ChartFault.shouldHaveNoExit(file.chart(), state.name()));
        }
    }

    private static boolean leaves(ChartFile.StateEntry state, ChartFile.TransitionEntry transition) {
        return !transition.to().isEmpty() && !transition.to().equals(state.name());
    }

    private void checkAmbiguity(ChartFile.StateEntry state) {
        Set<String> unguarded = new HashSet<>();
        Set<String> eventsWithGuards = new HashSet<>();
        for (ChartFile.TransitionEntry transition : state.on()) {
            boolean repeated = !eventsWithGuards.add(transition.event() + " " + transition.when());
            if (unguarded.contains(transition.event()) || repeated) {
                faults.add(ChartFault.shouldBeUnambiguous(file.chart(), state.name(), transition.event()));
            }
            if (transition.when().isEmpty()) {
                unguarded.add(transition.event());
            }
        }
    }

    private Map<String, String> eventsOfTimers() {
        Map<String, String> events = new HashMap<>();
        for (Enum<?> timer : vocabulary.timers().getEnumConstants()) {
            events.put(timer.name(), ((TimerRule<?, ?>) timer).fires().name());
        }
        return events;
    }
}
