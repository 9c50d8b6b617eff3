package org.verbenamast.core.keys;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongUnaryOperator;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * Plans the owners of a service's keys as one of its nodes. The planner, the first node by name, balances loads and
 * replaces owners that are lost. The other nodes act only on what rows say, and only if it stays so: keys without a
 * destination, or with one that may not receive requests. So a planner that the store refuses leaves no keys unserved.
 */
final class KeyPlanner {

    /** Time between plans that move keys, in nanoseconds; one heartbeat interval, so that moves can complete. */
    private static final long BALANCE_INTERVAL_NANOS = Timing.millisToNanos(1_000);
    /** Stabilization delay after the last change of the member count before keys are first assigned, in nanoseconds. */
    private static final long FIRST_ASSIGNMENT_DELAY_NANOS = Timing.millisToNanos(1_500);
    /** Time that each node by name leaves to those before it, in nanoseconds; a review and a slow call to the store. */
    private static final long STEP_IN_DELAY_NANOS = Timing.millisToNanos(700);

    /** Rank above which nodes by name no longer wait for those before them. */
    private static final int MAX_RANK = 5;

    private static final long NEVER = Long.MAX_VALUE;

    private final KeyHosts hosts;
    private final KeyDemand demand;
    private final LongUnaryOperator membersAsOf;
    private long nextBalance;
    private long membersChangedAt;
    private long firstMemberAt = NEVER;
    private int memberCount;
    private long unfitSince = NEVER;

    /**
     * Creates a planner without members.
     *
     * @param hosts the hosts of the service
     * @param demand the load of the keys
     * @param membersAsOf returns, at a monotonic time, the time as of which all members are known; both in nanoseconds
     */
    KeyPlanner(KeyHosts hosts, KeyDemand demand, LongUnaryOperator membersAsOf) {
        this.membersAsOf = Objects.requireNonNull(membersAsOf, "membersAsOf");
        this.hosts = Objects.requireNonNull(hosts, "hosts");
        this.demand = Objects.requireNonNull(demand, "demand");
    }

    /** Returns the map as this node wants it at a monotonic time in nanoseconds; the same instance if it is right. */
    KeyMap plan(KeyMap map, long now) {
        recordMemberCount(now);
        boolean first = map.isVacant();
        if (first && !isSettled(now)) {
            return map;
        }
        int rank = hosts.rank(now);
        if (rank < 0 || rank > 0 && !mayStepIn(map, rank, now)) {
            return map;
        }
        return plan(map, rank == 0, now);
    }

    /**
     * Returns whether the members are known that started together with the first ones, and none has joined lately. A
     * node that has just started knows itself and few others until it has read the members once more.
     */
    private boolean isSettled(long now) {
        return firstMemberAt != NEVER
                && membersAsOf.applyAsLong(now) - firstMemberAt >= FIRST_ASSIGNMENT_DELAY_NANOS
                && now - membersChangedAt >= FIRST_ASSIGNMENT_DELAY_NANOS;
    }

    private void recordMemberCount(long now) {
        int members = hosts.serving().size();
        if (members > 0) {
            firstMemberAt = Math.min(firstMemberAt, now);
        }
        if (members != memberCount) {
            memberCount = members;
            membersChangedAt = now;
        }
    }

    /** Returns how long this node leaves to those before it by name, in nanoseconds; longest if it may not plan. */
    long turnNanos(long now) {
        int rank = hosts.rank(now);
        return STEP_IN_DELAY_NANOS * (rank < 0 ? MAX_RANK : Math.min(MAX_RANK, rank));
    }

    /** Returns whether the nodes before this one have left keys without a fit destination for too long. */
    private boolean mayStepIn(KeyMap map, int rank, long now) {
        Set<ServerIncarnation> fit = incarnations(hosts.serving());
        boolean unfit = map.assignments().stream()
                .anyMatch(assignment ->
                        assignment.destination().filter(fit::contains).isEmpty());
        if (!unfit) {
            unfitSince = NEVER;
            return false;
        }
        unfitSince = Math.min(unfitSince, now);
        return now - unfitSince >= rank * STEP_IN_DELAY_NANOS;
    }

    private KeyMap plan(KeyMap map, boolean isPlanner, long now) {
        List<Member> present = hosts.presentMembers(now);
        Set<ServerIncarnation> fit = incarnations(present);
        KeyMap kept = present.isEmpty() ? map : map.withoutMovesTo(incarnation -> !fit.contains(incarnation));
        boolean balance = isPlanner && now >= nextBalance;
        if (balance) {
            nextBalance = now + BALANCE_INTERVAL_NANOS;
        }
        return demand.plan(present, now).plan(kept, balance);
    }

    private static Set<ServerIncarnation> incarnations(List<Member> members) {
        Set<ServerIncarnation> incarnations = new HashSet<>();
        members.forEach(member -> incarnations.add(member.incarnation()));
        return incarnations;
    }
}
