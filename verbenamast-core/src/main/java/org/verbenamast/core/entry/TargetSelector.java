package org.verbenamast.core.entry;

import java.util.List;
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

/** Chooses the member that a request goes to: the owner of its key, or the one that is expected to answer first. */
final class TargetSelector {

    /** Expected time that a large answer from another zone has to save to be worth its transfer, in milliseconds. */
    private static final double LARGE_CROSS_ZONE_COST_MILLIS = 250;
    /** Expected time that a small answer from another zone has to save, in milliseconds; two crossings and a little. */
    private static final double SMALL_CROSS_ZONE_COST_MILLIS = 5;
    /** Spread of the random factor on expected times, as a ratio; keeps nodes from choosing the same member at once. */
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
            Predicate<Member> parked,
            DoubleSupplier random) {
        this.zone = Objects.requireNonNull(zone, "zone");
        this.roster = Objects.requireNonNull(roster, "roster");
        this.replica = Objects.requireNonNull(replica, "replica");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.unreachable = Objects.requireNonNull(parked, "parked");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Finds the member beside the owner of a key, or beside the server that the key is moving to. */
    Optional<Member> findOwner(String service, int key) {
        return replica.find(new RowRef(RowTable.KEYS, service)).content().flatMap(content -> {
            KeyAssignment assignment = ((KeyMap) content).find(key);
            return assignment.owner().flatMap(roster::hostOf);
        });
    }

    /** Finds the member that is expected to answer first, among those that were not asked yet. */
    Optional<Member> findFastest(String service, RequestKind kind, Set<String> asked, long now) {
        List<Member> open = roster.serving(service).stream()
                .filter(member -> !asked.contains(member.node()))
                .filter(member -> !loads.isStopping(member.node(), now))
                .toList();
        List<Member> sound = open.stream().filter(unreachable.negate()).toList();
        Member best = null;
        double least = Double.MAX_VALUE;
        for (Member member : sound.isEmpty() ? open : sound) {
            double cost = estimateMillis(member, kind, now);
            if (cost < least) {
                least = cost;
                best = member;
            }
        }
        return Optional.ofNullable(best);
    }

    private double estimateMillis(Member member, RequestKind kind, long now) {
        double expected = loads.expectedMillis(member.node(), member.slots(), now);
        double jittered = expected * (1 + JITTER_RATIO * (random.getAsDouble() - 0.5));
        if (member.zone().equals(zone)) {
            return jittered;
        }
        return jittered + (kind.large() ? LARGE_CROSS_ZONE_COST_MILLIS : SMALL_CROSS_ZONE_COST_MILLIS);
    }
}
