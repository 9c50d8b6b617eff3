package org.verbenamast.core.chart.file;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A data-flow analysis of which timers may be armed in each state. The sets of armed timers are propagated along all
 * transitions until none of them grows.
 */
final class TimerFlow {

    private final ChartFile file;
    private final Map<String, String> eventOfTimer;
    private final Map<String, Set<String>> armed = new HashMap<>();

    TimerFlow(ChartFile file, Map<String, String> eventOfTimer) {
        this.file = file;
        this.eventOfTimer = eventOfTimer;
        file.states().forEach(state -> armed.put(state.name(), new HashSet<>(state.starts())));
    }

    List<ChartFault> faults() {
        boolean changed = true;
        while (changed) {
            changed = false;
            for (ChartFile.StateEntry state : file.states()) {
                changed |= propagate(state);
            }
        }
        List<ChartFault> faults = new ArrayList<>();
        file.states().forEach(state -> check(state, faults));
        return faults;
    }

    private boolean propagate(ChartFile.StateEntry state) {
        boolean changed = false;
        for (ChartFile.TransitionEntry transition : state.on()) {
            if (!transition.to().isEmpty()) {
                changed |= propagate(state, transition);
            }
        }
        return changed;
    }

    private boolean propagate(ChartFile.StateEntry state, ChartFile.TransitionEntry transition) {
        ChartFile.StateEntry next = find(transition.to());
        Set<String> carried = new HashSet<>(armed.get(state.name()));
        carried.removeIf(timer -> transition.event().equals(eventOfTimer.get(timer)));
        next.cancels().forEach(carried::remove);
        return armed.get(next.name()).addAll(carried);
    }

    private ChartFile.StateEntry find(String name) {
        return file.states().stream()
                .filter(state -> state.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private void check(ChartFile.StateEntry state, List<ChartFault> faults) {
        for (String timer : armed.get(state.name())) {
            String event = eventOfTimer.get(timer);
            boolean handled = state.on().stream().anyMatch(t -> t.event().equals(event));
            if (!handled) {
                faults.add(ChartFault.shouldCancelTimer(file.chart(), state.name(), timer));
            }
        }
    }
}
