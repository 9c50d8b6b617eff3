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

/**
 * The owners of all keys of a service. Immutable; each change is committed under the version of the row that it was
 * made from, so that of two changes at once only one takes effect.
 *
 * @param service the service's name
 * @param lastEpoch the highest fencing token given so far
 * @param assignments the owners, in the order of the keys, without gaps
 */
public record KeyMap(String service, long lastEpoch, List<KeyAssignment> assignments) implements RowContent {

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
     * Makes the map of a service whose keys nobody owns.
     *
     * @param service the service's name
     * @return the map
     */
    public static KeyMap vacant(String service) {
        return new KeyMap(
                service, 0, List.of(new KeyAssignment(KeyRange.ALL, Optional.empty(), 0, "", Optional.empty())));
    }

    /**
     * Finds who owns a key.
     *
     * @param key the key
     * @return the assignment that the key lies in
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
     * Returns who owns keys.
     *
     * @return the runs of backend servers
     */
    public Set<ServerIncarnation> owners() {
        Set<ServerIncarnation> owners = new HashSet<>();
        assignments.forEach(assignment -> assignment.owner().ifPresent(owners::add));
        return owners;
    }

    /**
     * Returns what a run of a backend server is to hold: what it owns and is not to give away.
     *
     * @param life the run
     * @return the grants, in the order of the keys
     */
    public List<GrantedKeys> grantsOf(ServerIncarnation life) {
        List<GrantedKeys> grants = new ArrayList<>();
        for (KeyAssignment assignment : assignments) {
            if (isOwner(assignment, life) && assignment.next().isEmpty()) {
                grants.add(new GrantedKeys(assignment.range(), assignment.epoch(), assignment.handover()));
            }
        }
        return grants;
    }

    /**
     * Tells whether a run of a backend server owns any key.
     *
     * @param life the run
     * @return whether it owns some
     */
    public boolean isOwner(ServerIncarnation life) {
        return assignments.stream().anyMatch(assignment -> isOwner(assignment, life));
    }

    private static boolean isOwner(KeyAssignment assignment, ServerIncarnation life) {
        return assignment.owner().isPresent() && assignment.owner().get().equals(life);
    }

    /**
     * Lets keys move: those without an owner change hands at once, the others once their owner has given them back.
     *
     * @param range the keys
     * @param to the run that is to own them
     * @return the changed map
     */
    public KeyMap move(KeyRange range, ServerIncarnation to) {
        long epoch = lastEpoch + 1;
        return change(range, epoch, assignment -> {
            if (assignment.owner().isEmpty()) {
                return assignment.ownedBy(to, epoch, assignment.handover());
            }
            return isOwner(assignment, to) ? assignment.staying() : assignment.moving(to);
        });
    }

    /**
     * Takes keys back from their owner, which no longer holds them, and gives them to whom they are to move to.
     *
     * @param range the keys
     * @param owner the run that held them; keys of other owners are left alone
     * @param handover the owner's token, or an empty text where it gave none
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
                    .orElseGet(() -> assignment.vacant(handover));
        });
    }

    /**
     * Takes all keys back from a run that has ended.
     *
     * @param owner the run
     * @return the changed map
     */
    public KeyMap vacate(ServerIncarnation owner) {
        return release(KeyRange.ALL, owner, "");
    }

    /**
     * Calls off moves to runs that no longer exist.
     *
     * @param gone tells whether a run is gone
     * @return the changed map
     */
    public KeyMap withoutMovesTo(Predicate<ServerIncarnation> gone) {
        return change(
                KeyRange.ALL,
                lastEpoch,
                assignment -> assignment.next().filter(gone).isPresent() ? assignment.staying() : assignment);
    }

    private KeyMap change(KeyRange range, long epoch, UnaryOperator<KeyAssignment> step) {
        List<KeyAssignment> changed = new ArrayList<>();
        for (KeyAssignment assignment : assignments) {
            KeyRange whole = assignment.range();
            int from = Math.max(whole.from(), range.from());
            int to = Math.min(whole.to(), range.to());
            if (from > to) {
                add(changed, assignment);
                continue;
            }
            if (whole.from() < from) {
                add(changed, assignment.on(new KeyRange(whole.from(), from - 1)));
            }
            add(changed, step.apply(assignment.on(new KeyRange(from, to))));
            if (to < whole.to()) {
                add(changed, assignment.on(new KeyRange(to + 1, whole.to())));
            }
        }
        return changed.equals(assignments) ? this : new KeyMap(service, epoch, changed);
    }

    private static void add(List<KeyAssignment> list, KeyAssignment next) {
        KeyAssignment last = list.isEmpty() ? null : list.get(list.size() - 1);
        if (last != null && next.continues(last)) {
            list.set(
                    list.size() - 1,
                    last.on(new KeyRange(last.range().from(), next.range().to())));
        } else {
            list.add(next);
        }
    }
}
