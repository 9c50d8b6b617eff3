package org.verbenamast.core.assign;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.verbenamast.core.model.MemberId;

/** The slices that one candidate would own at a point in the computation of a plan. */
final class CandidateLoad {

    /** Orders by the load per weight after one more ordinary slice, the least first. Weight 0 comes last. */
    static final Comparator<CandidateLoad> LEAST_LOADED_FIRST = (a, b) -> {
        int order = Long.compare((a.load + 1) * b.weight, (b.load + 1) * a.weight);
        return order != 0 ? order : a.member.compareTo(b.member);
    };

    /**
     * Orders by the load per weight, the greatest first. It is consistent only for candidates with load: one with
     * neither load nor weight would have the same rank as every other.
     */
    static final Comparator<CandidateLoad> MOST_LOADED_FIRST = (a, b) -> {
        int order = Long.compare(b.load * a.weight, a.load * b.weight);
        return order != 0 ? order : a.member.compareTo(b.member);
    };

    private final MemberId member;
    private final int weight;
    private final SortedMap<Integer, Deque<Integer>> slicesByLoad = new TreeMap<>(Collections.reverseOrder());
    private long load;

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

    long load() {
        return load;
    }

    void add(int slice, int sliceLoad) {
        slicesByLoad.computeIfAbsent(sliceLoad, any -> new ArrayDeque<>()).addLast(slice);
        load += sliceLoad;
    }

    /**
     * Returns the distinct loads of the slices that may move away, the hottest first. A single slice that is hotter
     * than the candidate's whole share is not among them.
     */
    IntStream movableLoads(long totalLoad, long totalWeight) {
        if (slicesByLoad.isEmpty()) {
            return IntStream.empty();
        }
        int hottest = slicesByLoad.firstKey();
        boolean hotterThanShare = weight > 0 && hottest * totalWeight > totalLoad * weight;
        boolean stays = hotterThanShare && slicesByLoad.get(hottest).size() == 1;
        return slicesByLoad.keySet().stream().mapToInt(Integer::intValue).skip(stays ? 1 : 0);
    }

    /** Removes one slice with the given load, which the candidate must have, and returns its number. */
    int remove(int sliceLoad) {
        Deque<Integer> slices = slicesByLoad.get(sliceLoad);
        int slice = slices.removeFirst();
        if (slices.isEmpty()) {
            slicesByLoad.remove(sliceLoad);
        }
        load -= sliceLoad;
        return slice;
    }

    /**
     * Returns whether this candidate's load per weight, plus a slice taken from another candidate, stays below the
     * other's current load per weight.
     */
    boolean wouldStayBelow(CandidateLoad other, int sliceLoad) {
        return (load + sliceLoad) * other.weight < other.load * weight;
    }
}
