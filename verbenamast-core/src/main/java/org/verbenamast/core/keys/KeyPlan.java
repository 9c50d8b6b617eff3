package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Decides which keys move. Keys without a lasting owner are dealt to those that have least for their capacity; beyond
 * that, keys leave a server only while it carries clearly more than its part, so that a plan of a plan moves nothing.
 */
public final class KeyPlan {

    /** Load over its part from which a server gives keys away, as a ratio; small differences pass by themselves. */
    static final double OVERLOAD = 1.25;
    /** Load of which part a server is brought down to, as a ratio; below {@link #OVERLOAD}, so that plans settle. */
    static final double SETTLED = 1.08;
    /** Part of its capacity from which a server's requests wait for each other, as a ratio. */
    static final double BUSY = 0.5;
    /** A rest of less than this part of a range (1/32, as a shift) is not worth a range of its own. */
    private static final int NEARLY_ALL_SHIFT = 5;
    /** Requests counted lately below which loads are too uncertain to move keys for. */
    static final double MIN_HEAT = 30;

    private final KeyLoad heat;
    private final List<KeyCandidate> candidates;
    private final Map<ServerIncarnation, Double> part = new HashMap<>();
    private final Map<ServerIncarnation, Double> load = new HashMap<>();

    /**
     * Prepares a plan.
     *
     * @param heat the weight of the keys
     * @param candidates the servers that may own keys
     */
    public KeyPlan(KeyLoad heat, List<KeyCandidate> candidates) {
        this.heat = Objects.requireNonNull(heat, "heat");
        this.candidates = List.copyOf(candidates);
    }

    /**
     * Plans moves.
     *
     * @param map the owners as they are
     * @param balance whether keys of healthy servers may move too
     * @return the changed map, or the same map where nothing is to move
     */
    public KeyMap plan(KeyMap map, boolean balance) {
        if (candidates.isEmpty()) {
            return map;
        }
        weigh(map);
        KeyMap housed = houseHomeless(map);
        boolean moving =
                housed.assignments().stream().anyMatch(each -> each.next().isPresent());
        return housed != map || moving || !balance || heat.total() < MIN_HEAT ? housed : balance(housed);
    }

    private void weigh(KeyMap map) {
        double capacity =
                candidates.stream().mapToDouble(KeyCandidate::capacity).sum();
        double all = heat.of(KeyRange.ALL);
        for (KeyCandidate candidate : candidates) {
            part.put(candidate.life(), all * candidate.capacity() / capacity);
            load.put(candidate.life(), 0.0);
        }
        for (KeyAssignment assignment : map.assignments()) {
            assignment.destination().ifPresent(life -> addLoad(life, heat.of(assignment.range())));
        }
    }

    private void addLoad(ServerIncarnation life, double weight) {
        load.computeIfPresent(life, (known, sum) -> sum + weight);
    }

    private boolean isCandidate(Optional<ServerIncarnation> life) {
        return life.isPresent() && load.containsKey(life.get());
    }

    private KeyMap houseHomeless(KeyMap map) {
        KeyMap housed = map;
        for (KeyAssignment assignment : map.assignments()) {
            if (!isCandidate(assignment.destination())) {
                housed = deal(housed, assignment.range());
            }
        }
        return housed;
    }

    private KeyMap deal(KeyMap map, KeyRange range) {
        KeyMap dealt = map;
        Optional<KeyRange> left = Optional.of(range);
        while (left.isPresent()) {
            ServerIncarnation to = emptiest();
            KeyRange piece = head(left.get(), part.get(to) - load.get(to));
            addLoad(to, heat.of(piece));
            dealt = dealt.move(piece, to);
            left = after(piece, left.get());
        }
        return dealt;
    }

    private static Optional<KeyRange> after(KeyRange piece, KeyRange range) {
        return piece.to() == range.to() ? Optional.empty() : Optional.of(new KeyRange(piece.to() + 1, range.to()));
    }

    /** Returns the first keys of a range up to a weight, one key at least. */
    private KeyRange head(KeyRange range, double weight) {
        int to = heat.lastWithin(range, weight);
        boolean nearlyAll = range.to() - to < (range.size() >> NEARLY_ALL_SHIFT);
        return new KeyRange(range.from(), nearlyAll ? range.to() : to);
    }

    private ServerIncarnation emptiest() {
        ServerIncarnation emptiest = candidates.get(0).life();
        for (KeyCandidate candidate : candidates) {
            if (spare(candidate.life()) > spare(emptiest)) {
                emptiest = candidate.life();
            }
        }
        return emptiest;
    }

    private double spare(ServerIncarnation life) {
        return part.get(life) - load.get(life);
    }

    private KeyMap balance(KeyMap map) {
        KeyMap balanced = map;
        for (KeyCandidate candidate : candidates) {
            ServerIncarnation from = candidate.life();
            boolean busy = load.get(from) > BUSY * heat.perSecond(1) * candidate.capacity();
            if (busy && load.get(from) > OVERLOAD * part.get(from)) {
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
        own.sort((one, other) -> Double.compare(heat.of(other.range()), heat.of(one.range())));
        for (KeyAssignment assignment : own) {
            Optional<KeyRange> left = Optional.of(assignment.range());
            while (left.isPresent() && load.get(from) > SETTLED * part.get(from)) {
                ServerIncarnation to = emptiest();
                double weight = Math.min(spare(to), load.get(from) - part.get(from));
                KeyRange piece = head(left.get(), weight);
                double moved = heat.of(piece);
                if (to.equals(from) || load.get(to) + moved >= load.get(from)) {
                    return relieved;
                }
                addLoad(from, -moved);
                addLoad(to, moved);
                relieved = relieved.move(piece, to);
                left = after(piece, left.get());
            }
        }
        return relieved;
    }
}
