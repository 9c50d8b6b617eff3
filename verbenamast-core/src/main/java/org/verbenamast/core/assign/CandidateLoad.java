package org.verbenamast.core.assign;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.verbenamast.core.model.MemberId;

/** What one candidate would own while a plan is made. */
final class CandidateLoad {

    /** The candidate with the most room for its weight comes first. */
    static final Comparator<CandidateLoad> BY_ROOM = (a, b) -> {
        int byRoom = Long.compare((a.units + 1) * b.weight, (b.units + 1) * a.weight);
        return byRoom != 0 ? byRoom : a.member.compareTo(b.member);
    };

    /** The candidate with the most load for its weight comes first. Candidates without load have no place in it. */
    static final Comparator<CandidateLoad> BY_LOAD = (a, b) -> {
        int byLoad = Long.compare(b.units * a.weight, a.units * b.weight);
        return byLoad != 0 ? byLoad : a.member.compareTo(b.member);
    };

    private final MemberId member;
    private final int weight;
    private final SortedMap<Integer, Deque<Integer>> slicesByHeat = new TreeMap<>(Collections.reverseOrder());
    private long units;

    CandidateLoad(MemberId member, int weight) {
        this.member = member;
        this.weight = weight;
    }

    MemberId member() {
        return member;
    }

    int weight() {
        return weight;
    }

    long units() {
        return units;
    }

    void add(int slice, int heat) {
        slicesByHeat.computeIfAbsent(heat, any -> new ArrayDeque<>()).addLast(slice);
        units += heat;
    }

    /** Lists the heats of the slices that may leave, the hottest first. A slice hotter than the whole share stays. */
    IntStream partingHeats(long allUnits, long allWeights) {
        if (slicesByHeat.isEmpty()) {
            return IntStream.empty();
        }
        int hottest = slicesByHeat.firstKey();
        boolean hotterThanShare = weight > 0 && hottest * allWeights > allUnits * weight;
        boolean stays = hotterThanShare && slicesByHeat.get(hottest).size() == 1;
        return slicesByHeat.keySet().stream().mapToInt(Integer::intValue).skip(stays ? 1 : 0);
    }

    /** Takes away one slice of a heat that the candidate has. */
    int remove(int heat) {
        Deque<Integer> slices = slicesByHeat.get(heat);
        int slice = slices.removeFirst();
        if (slices.isEmpty()) {
            slicesByHeat.remove(heat);
        }
        units -= heat;
        return slice;
    }

    /** Tells whether this candidate would still have less than another one after it took a slice from it. */
    boolean wouldStayBelow(CandidateLoad other, int heat) {
        return (units + heat) * other.weight < other.units * weight;
    }
}
