package org.verbenamast.core.keys;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;

/**
 * The hosts of a service from this node's point of view: which of them is the planner, the node that decides which keys
 * move, which are lost, that is, have been unreachable for {@link #SUSPECT_DELAY_NANOS}, and which servers beside this
 * node have ended.
 */
final class KeyHosts {

    /** Time for which a member is unreachable before its lease is watched, in nanoseconds. */
    private static final long SUSPECT_DELAY_NANOS = Timing.millisToNanos(1_500);

    private final String node;
    private final String service;
    private final Roster roster;
    private final Predicate<Member> reachable;
    private final SuspectTimes suspects = new SuspectTimes();
    private final Set<ServerIncarnation> ended = new HashSet<>();

    KeyHosts(String node, String service, Roster roster, Predicate<Member> reachable) {
        this.node = node;
        this.service = service;
        this.roster = Objects.requireNonNull(roster, "roster");
        this.reachable = Objects.requireNonNull(reachable, "reachable");
    }

    /** Records that a server incarnation beside this node has ended; this node's row may still name it. */
    void recordEnd(ServerIncarnation incarnation) {
        ended.add(incarnation);
    }

    /** Records that a server incarnation beside this node sends heartbeats. */
    void recordPresence(ServerIncarnation incarnation) {
        ended.remove(incarnation);
    }

    boolean hasEnded(ServerIncarnation incarnation) {
        return ended.contains(incarnation);
    }

    List<Member> serving() {
        List<Member> accepting = roster.acceptingRequests(service);
        return ended.isEmpty()
                ? accepting
                : accepting.stream()
                        .filter(member -> !hasEnded(member.incarnation()))
                        .toList();
    }

    /** Returns the members of the service that are not lost. */
    List<Member> presentMembers(long now) {
        return serving().stream().filter(member -> !isLost(member, now)).toList();
    }

    /** Returns the planner: of the members that this node reaches and that are not lost, the first one by name. */
    Optional<Member> planner(long now) {
        return serving().stream()
                .filter(member -> !isLost(member, now) && isReachable(member))
                .min(Comparator.comparing(Member::node));
    }

    boolean isPlanner(long now) {
        return planner(now).filter(member -> member.node().equals(node)).isPresent();
    }

    /**
     * Returns how many members come before this node when the planner is chosen: 0 if this node is the planner, -1 if
     * its server may not receive requests, so that it can't be.
     */
    int rank(long now) {
        int before = 0;
        boolean serving = false;
        for (Member member : serving()) {
            boolean candidate = !isLost(member, now) && isReachable(member);
            if (candidate && member.node().equals(node)) {
                serving = true;
            } else if (candidate && member.node().compareTo(node) < 0) {
                before++;
            }
        }
        return serving ? before : -1;
    }

    private boolean isReachable(Member member) {
        return member.node().equals(node) || reachable.test(member);
    }

    /** Returns whether an owner of keys is lost. */
    boolean isLost(ServerIncarnation owner, long now) {
        return isLost(
                owner, roster.findByIncarnation(owner).filter(this::isReachable).isPresent(), now);
    }

    private boolean isLost(Member member, long now) {
        return isLost(member.incarnation(), isReachable(member), now);
    }

    private boolean isLost(ServerIncarnation incarnation, boolean reachable, long now) {
        return suspects.unreachableNanos(incarnation, reachable, now) >= SUSPECT_DELAY_NANOS;
    }

    /** Forgets the server incarnations that neither own keys nor are members. */
    void retainKnown(KeyMap map) {
        Set<ServerIncarnation> incarnations = map.owners();
        roster.members().forEach(member -> incarnations.add(member.incarnation()));
        suspects.retain(incarnations);
        ended.retainAll(incarnations);
    }
}
