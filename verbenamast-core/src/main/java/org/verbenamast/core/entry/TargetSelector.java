package org.verbenamast.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.verbenamast.core.keys.KeyAssignment;
import org.verbenamast.core.keys.KeyMap;
import org.verbenamast.core.manifest.RequestKind;
import org.verbenamast.core.model.Zone;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.rows.RowRef;
import org.verbenamast.core.rows.RowReplica;
import org.verbenamast.core.rows.RowTable;
import org.verbenamast.core.rows.StoredRow;

/** Selects the member that a request is sent to: the owner of its key, or the one that is expected to answer first. */
final class TargetSelector {

    /** Time that a member in another zone must save to be worth the transfer of a large answer, in milliseconds. */
    private static final double LARGE_CROSS_ZONE_COST_MILLIS = 250;
    /** Time that a member in another zone must save for a small answer, in milliseconds; just over two crossings. */
    private static final double SMALL_CROSS_ZONE_COST_MILLIS = 5;

    private final Zone zone;
    private final Roster roster;
    private final RowReplica replica;
    private final MemberLoads loads;
    private final Predicate<Member> unreachable;
    private final DoubleSupplier random;

    TargetSelector(
            Zone zone,
            Roster roster,
            RowReplica replica,
            MemberLoads loads,
            Predicate<Member> unreachable,
            DoubleSupplier random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.replica = Objects.requireNonNull(replica, "replica");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.unreachable = Objects.requireNonNull(unreachable, "unreachable");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Finds the member beside the server that owns a key; a key that moves is its former owner's until released. */
    Optional<Member> findOwner(String service, int key) {
        return assignment(service, key).flatMap(KeyAssignment::owner).flatMap(roster::findByIncarnation);
    }

    /** Returns whether a key's owner is giving it up in favour of another server. */
    boolean isMoving(String service, int key) {
        return assignment(service, key).flatMap(KeyAssignment::next).isPresent();
    }

    private Optional<KeyAssignment> assignment(String service, int key) {
        StoredRow row = replica.find(new RowRef(RowTable.KEYS, service));
        return row.isReadable() ? Optional.of(KeyMap.of(row).find(key)) : Optional.empty();
    }

    /**
     * Finds the member that is expected to answer first among two drawn at random. Load reports are out of date by the
     * time they are used, and the least of all reports is the same for many nodes, which would then overload its
     * member. Skips members that were tried or are stopping, and uses unreachable members only if no other is left.
     */
    Optional<Member> findFastest(String service, RequestKind kind, Set<String> triedNodes, long now) {
        List<Member> members = new ArrayList<>();
        List<Member> unreachableMembers = new ArrayList<>();
        for (Member member : roster.acceptingRequests(service)) {
            if (!triedNodes.contains(member.node()) && !loads.isStopping(member.node(), now)) {
                (unreachable.test(member) ? unreachableMembers : members).add(member);
            }
        }
        List<Member> candidates = members.isEmpty() ? unreachableMembers : members;
        if (!kind.hasLargeAnswers()) {
            return Optional.ofNullable(fasterOfTwo(candidates, kind, now));
        }
        Map<Boolean, List<Member>> byProximity = candidates.stream().collect(Collectors.partitioningBy(this::isNear));
        Member near = fasterOfTwo(byProximity.get(true), kind, now);
        Member far = fasterOfTwo(byProximity.get(false), kind, now);
        return Optional.ofNullable(faster(near, far, kind, now));
    }

    /** Finds a member for a hedge, as {@link #findFastest} does, if it was idle by a recent report. */
    Optional<Member> findIdle(String service, RequestKind kind, Set<String> triedNodes, long now) {
        return findFastest(service, kind, triedNodes, now)
                .filter(member -> !unreachable.test(member) && loads.isIdle(member.node(), member.slots(), now));
    }

    private boolean isNear(Member member) {
        return member.zone().equals(zone);
    }

    private Member fasterOfTwo(List<Member> members, RequestKind kind, long now) {
        if (members.size() <= 1) {
            return members.isEmpty() ? null : members.get(0);
        }
        int first = drawIndex(members.size());
        int second = drawIndex(members.size() - 1);
        return faster(members.get(first), members.get(second < first ? second : second + 1), kind, now);
    }

    private int drawIndex(int bound) {
        return (int) (random.getAsDouble() * bound);
    }

    private Member faster(Member one, Member other, RequestKind kind, long now) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return estimateMillis(one, kind, now) <= estimateMillis(other, kind, now) ? one : other;
    }

    private double estimateMillis(Member member, RequestKind kind, long now) {
        double expectedMillis = loads.expectedMillis(member.node(), member.slots(), now);
        if (isNear(member)) {
            return expectedMillis;
        }
        return expectedMillis + (kind.hasLargeAnswers() ? LARGE_CROSS_ZONE_COST_MILLIS : SMALL_CROSS_ZONE_COST_MILLIS);
    }
}
