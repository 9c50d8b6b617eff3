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
 * Distributes the load of the slices in proportion to the candidates' weights and moves as few of them as possible.
 *
 * <p>A slice moves only if its new owner's load per unit of weight stays below the old owner's before the move. A plan
 * that starts from the result of a plan therefore moves nothing. A slice that is hotter than its owner's whole share
 * stays, and the owner's other slices move away, the hottest first.
 */
final class BalancedPlan {

    private final AssignmentProblem problem;
    private final List<MemberId> targets;
    private final Map<MemberId, CandidateLoad> candidates = new HashMap<>();
    private final TreeSet<CandidateLoad> leastLoaded = new TreeSet<>(CandidateLoad.LEAST_LOADED_FIRST);
    private final TreeSet<CandidateLoad> mostLoaded = new TreeSet<>(CandidateLoad.MOST_LOADED_FIRST);
    private final long totalWeight;
    private final long totalLoad;

    BalancedPlan(AssignmentProblem problem) {
        this.problem = problem;
        this.targets = new ArrayList<>(problem.owners());
        boolean noWeights = problem.candidates().stream().allMatch(candidate -> candidate.weight() == 0);
        for (Candidate candidate : problem.candidates()) {
            int weight = noWeights ? 1 : candidate.weight();
            candidates.put(candidate.member(), new CandidateLoad(candidate.member(), weight));
        }
        this.totalWeight =
                candidates.values().stream().mapToLong(CandidateLoad::weight).sum();
        this.totalLoad = problem.loads().stream().mapToLong(Integer::longValue).sum();
    }

    List<MemberId> targets() {
        List<Integer> unowned = new ArrayList<>();
        for (int slice = 0; slice < targets.size(); slice++) {
            CandidateLoad owner = candidates.get(targets.get(slice));
            if (owner == null) {
                unowned.add(slice);
            } else {
                owner.add(slice, problem.loads().get(slice));
            }
        }
        leastLoaded.addAll(candidates.values());
        assignUnowned(unowned);
        rebalance();
        return targets;
    }

    private void assignUnowned(List<Integer> unowned) {
        unowned.sort(Comparator.comparing((Integer slice) -> problem.loads().get(slice))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        for (int slice : unowned) {
            assign(slice, leastLoaded.first());
        }
    }

    private void assign(int slice, CandidateLoad to) {
        leastLoaded.remove(to);
        to.add(slice, problem.loads().get(slice));
        leastLoaded.add(to);
        targets.set(slice, to.member());
    }

    private void rebalance() {
        boolean moved = true;
        while (moved) {
            candidates.values().stream()
                    .filter(candidate -> candidate.load() > 0)
                    .forEach(mostLoaded::add);
            moved = rebalanceOnce();
        }
    }

    private boolean rebalanceOnce() {
        boolean moved = false;
        while (!mostLoaded.isEmpty()) {
            CandidateLoad from = mostLoaded.pollFirst();
            CandidateLoad to = leastLoaded.first();
            OptionalInt sliceLoad = from == to ? OptionalInt.empty() : movableLoad(from, to);
            if (sliceLoad.isPresent()) {
                move(sliceLoad.getAsInt(), from, to);
                moved = true;
            }
        }
        return moved;
    }

    private OptionalInt movableLoad(CandidateLoad from, CandidateLoad to) {
        return from.movableLoads(totalLoad, totalWeight)
                .filter(sliceLoad -> to.wouldStayBelow(from, sliceLoad))
                .findFirst();
    }

    private void move(int sliceLoad, CandidateLoad from, CandidateLoad to) {
        mostLoaded.remove(to);
        leastLoaded.remove(from);
        assign(from.remove(sliceLoad), to);
        leastLoaded.add(from);
        mostLoaded.add(to);
        if (from.load() > 0) {
            mostLoaded.add(from);
        }
    }
}
