package org.verbenamast.core.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.model.Zone;

/** The members that a node knows, and the availability zones that operators have taken out. */
public final class Roster {

    private final Map<String, Member> members = new HashMap<>();
    private Set<Zone> evacuated = Set.of();

    /**
     * Takes a member's newest row.
     *
     * @param member the member
     */
    public void put(Member member) {
        members.put(member.node(), member);
    }

    /**
     * Forgets a member whose row is gone.
     *
     * @param node the node's name
     */
    public void remove(String node) {
        members.remove(node);
    }

    /**
     * Returns all known members.
     *
     * @return the members, in no order
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Finds a member by its node's name.
     *
     * @param node the name
     * @return the member, or nothing where it isn't known
     */
    public Optional<Member> find(String node) {
        return Optional.ofNullable(members.get(node));
    }

    /**
     * Finds the member beside which a run of a backend server lives.
     *
     * @param life the run
     * @return the member, or nothing where no member has this run
     */
    public Optional<Member> findByIncarnation(ServerIncarnation life) {
        return members.values().stream()
                .filter(member -> member.incarnation().equals(life))
                .findFirst();
    }

    /**
     * Returns the members of a service that may be given new work.
     *
     * @param service the service's name
     * @return the members, in no order
     */
    public List<Member> acceptingRequests(String service) {
        List<Member> serving = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.service().equals(service)
                    && member.state().acceptsRequests()
                    && !evacuated.contains(member.zone())) {
                serving.add(member);
            }
        }
        return serving;
    }

    /**
     * Takes the availability zones that are out of service.
     *
     * @param out all of them
     */
    public void setEvacuatedZones(Set<Zone> out) {
        evacuated = Set.copyOf(out);
    }
}
