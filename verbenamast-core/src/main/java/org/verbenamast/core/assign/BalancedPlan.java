package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeSet;

import org.verbenamast.core.model.MemberId;

/**
 * Shares slices by weight and heat and leaves as many as possible where they are.
 *
 * <p>A slice moves only where its new owner would still have less for its weight than the old one had. So a plan made
 * from the result of a plan moves nothing. A slice that is hotter than its owner's whole share stays, and its owner's
 * other slices leave, the hottest first.
 */
final class BalancedPlan {

    private final AssignmentProblem problem;
    private final List<MemberId> targets;
    private final Map<MemberId, CandidateLoad> loads = new HashMap<>();
    private final TreeSet<CandidateLoad> byRoom = new TreeSet<>(CandidateLoad.BY_ROOM);
    private final TreeSet<CandidateLoad> byLoad = new TreeSet<>(CandidateLoad.BY_LOAD);
    private final long weights;
    private final long units;

    BalancedPlan(AssignmentProblem problem) {
        this.problem = problem;
        this.targets = new ArrayList<>(problem.owners());
        boolean noWeights = problem.candidates().stream().allMatch(candidate -> candidate.weight() == 0);
        for (Candidate candidate : problem.candidates()) {
            int weight = noWeights ? 1 : candidate.weight();
            loads.put(candidate.member(), new CandidateLoad(candidate.member(), weight));
        }
        this.weights = loads.values().stream().mapToLong(CandidateLoad::weight).sum();
        this.units = problem.heats().stream().mapToLong(Integer::longValue).sum();
    }

    List<MemberId> targets() {
        List<Integer> homeless = new ArrayList<>();
        for (int slice = 0; slice < targets.size(); slice++) {
            CandidateLoad owner = loads.get(targets.get(slice));
            if (owner == null) {
                homeless.add(slice);
            } else {
                owner.add(slice, problem.heats().get(slice));
            }
        }
        byRoom.addAll(loads.values());
        place(homeless);
        level();
        return targets;
    }

    private void place(List<Integer> homeless) {
        homeless.sort(Comparator.comparing((Integer slice) -> problem.heats().get(slice))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        for (int slice : homeless) {
            give(slice, byRoom.first());
        }
    }

    private void give(int slice, CandidateLoad to) {
        byRoom.remove(to);
        to.add(slice, problem.heats().get(slice));
        byRoom.add(to);
        targets.set(slice, to.member());
    }

    private void level() {
        boolean moved = true;
        while (moved) {
            loads.values().stream().filter(load -> load.units() > 0).forEach(byLoad::add);
            moved = levelOnce();
        }
    }

    private boolean levelOnce() {
        boolean moved = false;
        while (!byLoad.isEmpty()) {
            CandidateLoad from = byLoad.pollFirst();
            CandidateLoad to = byRoom.first();
            OptionalInt heat = from == to ? OptionalInt.empty() : movable(from, to);
            if (heat.isPresent()) {
                move(heat.getAsInt(), from, to);
                moved = true;
            }
        }
        return moved;
    }

    private OptionalInt movable(CandidateLoad from, CandidateLoad to) {
        return from.partingHeats(units, weights)
                .filter(heat -> to.wouldStayBelow(from, heat))
                .findFirst();
    }

    private void move(int heat, CandidateLoad from, CandidateLoad to) {
        byLoad.remove(to);
        byRoom.remove(from);
        give(from.remove(heat), to);
        byRoom.add(from);
        byLoad.add(to);
        if (from.units() > 0) {
            byLoad.add(from);
        }
    }
}
