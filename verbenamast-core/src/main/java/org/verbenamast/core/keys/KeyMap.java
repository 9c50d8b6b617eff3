package org.verbenamast.core.keys;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.roster.ServerIncarnation;
import org.verbenamast.core.rows.RowContent;
import org.verbenamast.core.rows.StoredRow;

/**
 * The owners of all keys of a service. Immutable. Each change is committed on condition that the row still has the
 * version that the change was derived from, so only one of two concurrent changes takes effect.
 *
 * @param service the name of the service
 * @param lastEpoch the highest fencing token assigned so far
 * @param assignments the owners, in key order and without gaps
 */
public record KeyMap(String service, long lastEpoch, List<KeyAssignment> assignments) implements RowContent {

    private static final long EPOCHS_PER_ERA = 1L << 24;

    /** Checks that the assignments cover all keys in order. */
    public KeyMap {
        Checks.notBlank("service", service);
        Checks.notNegative("lastEpoch", lastEpoch);
        assignments = List.copyOf(assignments);
        int next = 0;
        for (KeyAssignment assignment : assignments) {
            Checks.within("from", assignment.range().from(), next, next);
            next = assignment.range().to() + 1;
        }
        Checks.within("keys", next, KeyRange.MAX_KEY + 1, KeyRange.MAX_KEY + 1);
    }

    /**
     * Creates the map of a service whose keys have no owner.
     *
     * @param service the name of the service
     * @return the map
     */
    public static KeyMap vacant(String service) {
        return new KeyMap(
                service, 0, List.of(new KeyAssignment(KeyRange.ALL, Optional.empty(), 0, "", Optional.empty())));
    }

    /**
     * Returns the map that a row holds.
     *
     * @param row the row of a service's map
     * @return the map; a vacant one if the row does not exist or is unreadable
     */
    public static KeyMap of(StoredRow row) {
        return row.content()
                .filter(KeyMap.class::isInstance)
                .map(KeyMap.class::cast)
                .orElseGet(() -> vacant(row.ref().key()));
    }

    /**
     * Returns the first fencing token of an era of the store. What the store loses with an era is too little for the
     * tokens of one era to reach the next one.
     *
     * @param era the era
     * @return the token; 0 in era 0
     */
    public static long firstEpochOf(long era) {
        return era * EPOCHS_PER_ERA;
    }

    /**
     * Returns whether the map has been settled in an era of the store: it lacks nothing that the store lost before.
     *
     * @param era the era
     * @return whether its fencing tokens have reached those of the era
     */
    public boolean isSettledIn(long era) {
        return lastEpoch >= firstEpochOf(era);
    }

    /**
     * Returns the map for an era of the store, whose next fencing tokens are above all that may have been lost.
     *
     * @param era the era
     * @return the settled map
     */
    public KeyMap settledIn(long era) {
        return isSettledIn(era) ? this : new KeyMap(service, firstEpochOf(era), assignments);
    }

    /**
     * Returns whether no key has ever been assigned.
     *
     * @return whether no assignment has an owner or a fencing token
     */
    public boolean isVacant() {
        return assignments.stream().allMatch(assignment -> assignment.owner().isEmpty() && assignment.epoch() == 0);
    }

    @Override
    public boolean outlasts(Optional<RowContent> stored) {
        return stored.filter(KeyMap.class::isInstance)
                        .map(KeyMap.class::cast)
                        .map(KeyMap::lastEpoch)
                        .orElse(0L)
                < lastEpoch;
    }

    /**
     * Returns the assignment of a key.
     *
     * @param key the key
     * @return the assignment whose range contains the key
     */
    public KeyAssignment find(int key) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low < high) {
            int middle = (low + high + 1) / 2;
            if (assignments.get(middle).range().from() <= key) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return assignments.get(low);
    }

    /**
     * Returns the owners of keys.
     *
     * @return the server incarnations that own at least one key
     */
    public Set<ServerIncarnation> owners() {
        Set<ServerIncarnation> owners = new HashSet<>();
        assignments.forEach(assignment -> assignment.owner().ifPresent(owners::add));
        return owners;
    }

    /**
     * Returns the keys to grant to a server incarnation: those that it owns and that are not moving away from it.
     *
     * @param incarnation the server incarnation
     * @return the keys, in ascending order
     */
    public List<GrantedKeys> grantsOf(ServerIncarnation incarnation) {
        List<GrantedKeys> grants = new ArrayList<>();
        for (KeyAssignment assignment : assignments) {
            if (isOwner(assignment, incarnation) && assignment.next().isEmpty()) {
                grants.add(new GrantedKeys(assignment.range(), assignment.epoch(), assignment.handover()));
            }
        }
        return grants;
    }

    /**
     * Returns whether a server incarnation owns any key.
     *
     * @param incarnation the server incarnation
     * @return whether it owns at least one key
     */
    public boolean isOwner(ServerIncarnation incarnation) {
        return assignments.stream().anyMatch(assignment -> isOwner(assignment, incarnation));
    }

    private static boolean isOwner(KeyAssignment assignment, ServerIncarnation incarnation) {
        return assignment.owner().isPresent() && assignment.owner().get().equals(incarnation);
    }

    /**
     * Moves keys to another owner: keys without an owner at once, the others as soon as their owner has released them.
     *
     * @param range the keys
     * @param to the server incarnation that becomes the owner
     * @return the changed map
     */
    public KeyMap move(KeyRange range, ServerIncarnation to) {
        long epoch = lastEpoch + 1;
        return change(range, epoch, assignment -> {
            if (assignment.owner().isEmpty()) {
                return assignment.ownedBy(to, epoch, assignment.handover());
            }
            return isOwner(assignment, to) ? assignment.withoutMove() : assignment.movingTo(to);
        });
    }

    /**
     * Ends the ownership of keys that their owner no longer holds, and assigns them to the server that they are moving
     * to.
     *
     * @param range the keys
     * @param owner the owner that held them; keys of other owners stay unchanged
     * @param handover the token with which the next owner takes over the state; empty if the owner sent none
     * @return the changed map
     */
    public KeyMap release(KeyRange range, ServerIncarnation owner, String handover) {
        long epoch = lastEpoch + 1;
        return change(range, epoch, assignment -> {
            if (!isOwner(assignment, owner)) {
                return assignment;
            }
            return assignment
                    .next()
                    .map(next -> assignment.ownedBy(next, epoch, handover))
                    .orElseGet(() -> assignment.withoutOwner(handover));
        });
    }

    /**
     * Ends the ownership of all keys of a server incarnation that has ended.
     *
     * @param owner the server incarnation
     * @return the changed map
     */
    public KeyMap vacate(ServerIncarnation owner) {
        return release(KeyRange.ALL, owner, "");
    }

    /**
     * Cancels moves to server incarnations that no longer exist.
     *
     * @param gone whether a server incarnation no longer exists
     * @return the changed map
     */
    public KeyMap withoutMovesTo(Predicate<ServerIncarnation> gone) {
        return change(
                KeyRange.ALL,
                lastEpoch,
                assignment -> assignment.next().filter(gone).isPresent() ? assignment.withoutMove() : assignment);
    }

    private KeyMap change(KeyRange range, long epoch, UnaryOperator<KeyAssignment> step) {
        List<KeyAssignment> changed = new ArrayList<>();
        for (KeyAssignment assignment : assignments) {
            KeyRange whole = assignment.range();
            int from = Math.max(whole.from(), range.from());
            int to = Math.min(whole.to(), range.to());
            if (from > to) {
                append(changed, assignment);
                continue;
            }
            if (whole.from() < from) {
                append(changed, assignment.withRange(new KeyRange(whole.from(), from - 1)));
            }
            append(changed, step.apply(assignment.withRange(new KeyRange(from, to))));
            if (to < whole.to()) {
                append(changed, assignment.withRange(new KeyRange(to + 1, whole.to())));
            }
        }
        return changed.equals(assignments) ? this : new KeyMap(service, epoch, changed);
    }

    private static void append(List<KeyAssignment> list, KeyAssignment next) {
        KeyAssignment last = list.isEmpty() ? null : list.get(list.size() - 1);
        if (last != null && next.isContinuationOf(last)) {
            list.set(
                    list.size() - 1,
                    last.withRange(
                            new KeyRange(last.range().from(), next.range().to())));
        } else {
            list.add(next);
        }
    }
}
