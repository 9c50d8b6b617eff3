package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Decides which keys move. Keys whose owner is gone are assigned to the servers with the most spare load. Other keys
 * move away from a server only while its load clearly exceeds its fair share, so planning again on the planned map
 * moves nothing.
 *
 * <p>The fair share of a server is its part of the total load in proportion to its capacity; its spare load is the fair
 * share minus its current load.
 */
public final class KeyPlan {

    /**
     * Ratio of load to fair share above which keys move away from a server; smaller differences even out by themselves.
     */
    static final double OVERLOAD_RATIO = 1.25;
    /**
     * Ratio of load to fair share that a server is relieved to; below {@link #OVERLOAD_RATIO}, so that plans converge.
     */
    static final double RELIEVED_RATIO = 1.08;
    /** Ratio of load to capacity above which the requests of a server start to queue. */
    static final double BUSY_RATIO = 0.5;
    /** Part of a range (as a shift: 1/32) below which the remainder is not split off as a range of its own. */
    private static final int NEARLY_ALL_SHIFT = 5;
    /** Total load, in decayed requests, below which the loads are too uncertain to move keys. */
    static final double MIN_LOAD = 30;

    private final KeyLoad keyLoad;
    private final List<KeyCandidate> candidates;
    private final Map<ServerIncarnation, Double> fairShare = new HashMap<>();
    private final Map<ServerIncarnation, Double> serverLoad = new HashMap<>();

    /**
     * Creates a plan.
     *
     * @param keyLoad the load of the keys
     * @param candidates the servers that may own keys
     */
    public KeyPlan(KeyLoad keyLoad, List<KeyCandidate> candidates) {
        this.keyLoad = Objects.requireNonNull(keyLoad, "keyLoad");
        this.candidates = List.copyOf(candidates);
    }

    /**
     * Plans moves.
     *
     * @param map the current owners
     * @param balance whether keys may also move away from overloaded servers
     * @return the changed map; the same instance if no keys move
     */
    public KeyMap plan(KeyMap map, boolean balance) {
        if (candidates.isEmpty()) {
            return map;
        }
        computeLoads(map);
        KeyMap assigned = assignOwnerless(map);
        boolean moving = assigned.assignments().stream()
                .anyMatch(assignment -> assignment.next().isPresent());
        return assigned != map || moving || !balance || keyLoad.total() < MIN_LOAD ? assigned : balance(assigned);
    }

    private void computeLoads(KeyMap map) {
        double capacity =
                candidates.stream().mapToDouble(KeyCandidate::capacity).sum();
        double all = keyLoad.of(KeyRange.ALL);
        for (KeyCandidate candidate : candidates) {
            fairShare.put(candidate.incarnation(), all * candidate.capacity() / capacity);
            serverLoad.put(candidate.incarnation(), 0.0);
        }
        for (KeyAssignment assignment : map.assignments()) {
            assignment.destination().ifPresent(incarnation -> addLoad(incarnation, keyLoad.of(assignment.range())));
        }
    }

    private void addLoad(ServerIncarnation incarnation, double addedLoad) {
        serverLoad.computeIfPresent(incarnation, (known, sum) -> sum + addedLoad);
    }

    private boolean isCandidate(Optional<ServerIncarnation> incarnation) {
        return incarnation.isPresent() && serverLoad.containsKey(incarnation.get());
    }

    private KeyMap assignOwnerless(KeyMap map) {
        KeyMap assigned = map;
        for (KeyAssignment assignment : map.assignments()) {
            if (!isCandidate(assignment.destination())) {
                assigned = assign(assigned, assignment.range());
            }
        }
        return assigned;
    }

    private KeyMap assign(KeyMap map, KeyRange range) {
        KeyMap assigned = map;
        Optional<KeyRange> remaining = Optional.of(range);
        while (remaining.isPresent()) {
            ServerIncarnation to = serverWithMostSpareLoad();
            KeyRange piece = firstKeys(remaining.get(), fairShare.get(to) - serverLoad.get(to));
            addLoad(to, keyLoad.of(piece));
            assigned = assigned.move(piece, to);
            remaining = after(piece, remaining.get());
        }
        return assigned;
    }

    private static Optional<KeyRange> after(KeyRange piece, KeyRange range) {
        return piece.to() == range.to() ? Optional.empty() : Optional.of(new KeyRange(piece.to() + 1, range.to()));
    }

    /** Returns the first keys of a range up to a load, at least one key. */
    private KeyRange firstKeys(KeyRange range, double maxLoad) {
        int to = keyLoad.lastWithin(range, maxLoad);
        boolean nearlyAll = range.to() - to < (range.size() >> NEARLY_ALL_SHIFT);
        return new KeyRange(range.from(), nearlyAll ? range.to() : to);
    }

    private ServerIncarnation serverWithMostSpareLoad() {
        ServerIncarnation server = candidates.get(0).incarnation();
        for (KeyCandidate candidate : candidates) {
            if (spareLoad(candidate.incarnation()) > spareLoad(server)) {
                server = candidate.incarnation();
            }
        }
        return server;
    }

    private double spareLoad(ServerIncarnation incarnation) {
        return fairShare.get(incarnation) - serverLoad.get(incarnation);
    }

    private KeyMap balance(KeyMap map) {
        KeyMap balanced = map;
        for (KeyCandidate candidate : candidates) {
            ServerIncarnation from = candidate.incarnation();
            boolean busy = serverLoad.get(from) > BUSY_RATIO * keyLoad.ofRate(1) * candidate.capacity();
            if (busy && serverLoad.get(from) > OVERLOAD_RATIO * fairShare.get(from)) {
                balanced = relieve(balanced, from);
            }
        }
        return balanced;
    }

    private KeyMap relieve(KeyMap map, ServerIncarnation from) {
        KeyMap relieved = map;
        List<KeyAssignment> own = new ArrayList<>();
        for (KeyAssignment assignment : map.assignments()) {
            if (assignment.destination().equals(Optional.of(from))) {
                own.add(assignment);
            }
        }
        own.sort((first, second) -> Double.compare(keyLoad.of(second.range()), keyLoad.of(first.range())));
        for (KeyAssignment assignment : own) {
            Optional<KeyRange> remaining = Optional.of(assignment.range());
            while (remaining.isPresent() && serverLoad.get(from) > RELIEVED_RATIO * fairShare.get(from)) {
                ServerIncarnation to = serverWithMostSpareLoad();
                double maxLoad = Math.min(spareLoad(to), serverLoad.get(from) - fairShare.get(from));
                KeyRange piece = firstKeys(remaining.get(), maxLoad);
                double moved = keyLoad.of(piece);
                if (to.equals(from) || serverLoad.get(to) + moved >= serverLoad.get(from)) {
                    return relieved;
                }
                addLoad(from, -moved);
                addLoad(to, moved);
                relieved = relieved.move(piece, to);
                remaining = after(piece, remaining.get());
            }
        }
        return relieved;
    }
}
