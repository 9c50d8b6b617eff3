package org.verbenamast.core.keys;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.verbenamast.core.node.Timing;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.Roster;
import org.verbenamast.core.roster.ServerIncarnation;

/** The hosts of a service as this node sees them: which of them plans, and which are lost. */
final class KeyHosts {

    /** Time for which a member is unreachable before its lease is watched, in nanoseconds. */
    private static final long SUSPECT_AFTER = Timing.millisToNanos(1_500);

    private final String node;
    private final String service;
    private final Roster roster;
    private final Predicate<Member> reachable;
    private final SuspectTimes suspects = new SuspectTimes();

    KeyHosts(String node, String service, Roster roster, Predicate<Member> reachable) {
        this.node = node;
        this.service = service;
        this.roster = Objects.requireNonNull(roster, "roster");
        this.reachable = Objects.requireNonNull(reachable, "reachable");
    }

    List<Member> serving() {
        return roster.serving(service);
    }

    /** Returns the members of the service that were not lost for long. */
    List<Member> present(long now) {
        return serving().stream().filter(member -> !isLost(member, now)).toList();
    }

    /** Returns the member that plans: the first one by name that this node reaches and that was not lost lately. */
    Optional<Member> planner(long now) {
        return serving().stream()
                .filter(member -> !isLost(member, now) && isHere(member))
                .min(Comparator.comparing(Member::node));
    }

    boolean plansHere(long now) {
        return planner(now).filter(member -> member.node().equals(node)).isPresent();
    }

    private boolean isHere(Member member) {
        return member.node().equals(node) || reachable.test(member);
    }

    /** Tells whether an owner of keys has been out of reach for long. */
    boolean isLost(ServerIncarnation owner, long now) {
        return isLost(owner, roster.hostOf(owner).filter(this::isHere).isPresent(), now);
    }

    private boolean isLost(Member member, long now) {
        return isLost(member.life(), isHere(member), now);
    }

    private boolean isLost(ServerIncarnation life, boolean here, long now) {
        return suspects.lostFor(life, here, now) >= SUSPECT_AFTER;
    }

    /** Forgets for how long those were out of reach that neither own keys nor are members. */
    void forgetAllBut(KeyMap map) {
        Set<ServerIncarnation> lives = map.owners();
        roster.members().forEach(member -> lives.add(member.life()));
        suspects.retain(lives);
    }
}
