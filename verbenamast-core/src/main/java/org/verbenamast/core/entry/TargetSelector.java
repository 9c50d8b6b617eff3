package org.verbenamast.core.entry;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

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
    /** Spread of the random factor on expected times, as a ratio; keeps nodes from all selecting the same member. */
    private static final double JITTER_RATIO = 0.15;

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
     * Finds the member that is expected to answer first. Skips members that were tried or are stopping, and uses
     * unreachable members only if no other is left.
     */
    Optional<Member> findFastest(String service, RequestKind kind, Set<String> triedNodes, long now) {
        Member fastest = null;
        Member fastestUnreachable = null;
        double lowestMillis = Double.MAX_VALUE;
        double lowestUnreachableMillis = Double.MAX_VALUE;
        for (Member member : roster.acceptingRequests(service)) {
            if (triedNodes.contains(member.node()) || loads.isStopping(member.node(), now)) {
                continue;
            }
            double millis = estimateMillis(member, kind, now);
            if (unreachable.test(member)) {
                if (millis < lowestUnreachableMillis) {
                    lowestUnreachableMillis = millis;
                    fastestUnreachable = member;
                }
            } else if (millis < lowestMillis) {
                lowestMillis = millis;
                fastest = member;
            }
        }
        return Optional.ofNullable(fastest == null ? fastestUnreachable : fastest);
    }

    private double estimateMillis(Member member, RequestKind kind, long now) {
        double expectedMillis = loads.expectedMillis(member.node(), member.slots(), now);
        double jitteredMillis = expectedMillis * (1 + JITTER_RATIO * (random.getAsDouble() - 0.5));
        if (member.zone().equals(zone)) {
            return jitteredMillis;
        }
        return jitteredMillis + (kind.hasLargeAnswers() ? LARGE_CROSS_ZONE_COST_MILLIS : SMALL_CROSS_ZONE_COST_MILLIS);
    }
}
