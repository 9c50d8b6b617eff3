package org.verbenamast.core.roster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.model.Zone;

/** The members that a node knows, and the availability zones that operators have evacuated (taken out of service). */
public final class Roster {

    private final Map<String, Member> members = new HashMap<>();
    private final Map<ServerIncarnation, Member> membersByIncarnation = new HashMap<>();
    private final Map<String, List<Member>> acceptingByService = new HashMap<>();
    private Set<Zone> evacuated = Set.of();

    /**
     * Adds a member or replaces its earlier version.
     *
     * @param member the member
     */
    public void put(Member member) {
        remove(member.node());
        members.put(member.node(), member);
        membersByIncarnation.put(member.incarnation(), member);
        acceptingByService.clear();
    }

    /**
     * Removes a member whose row was deleted.
     *
     * @param node the node's name
     */
    public void remove(String node) {
        Member removed = members.remove(node);
        if (removed != null && membersByIncarnation.remove(removed.incarnation(), removed)) {
            members.values().stream()
                    .filter(other -> other.incarnation().equals(removed.incarnation()))
                    .findFirst()
                    .ifPresent(other -> membersByIncarnation.put(other.incarnation(), other));
        }
        acceptingByService.clear();
    }

    /**
     * Returns all known members.
     *
     * @return the members, in no particular order
     */
    public Collection<Member> members() {
        return members.values();
    }

    /**
     * Returns the member with a node's name.
     *
     * @param node the node's name
     * @return the member, or nothing where none is known
     */
    public Optional<Member> find(String node) {
        return Optional.ofNullable(members.get(node));
    }

    /**
     * Returns the member beside which an incarnation of a backend server runs.
     *
     * @param incarnation the incarnation
     * @return the member, or nothing where no known member has this incarnation
     */
    public Optional<Member> findByIncarnation(ServerIncarnation incarnation) {
        return Optional.ofNullable(membersByIncarnation.get(incarnation));
    }

    /**
     * Returns the members of a service that may receive new requests: their server accepts them and their zone is in
     * service.
     *
     * @param service the service's name
     * @return the members, in no particular order; the list never changes
     */
    public List<Member> acceptingRequests(String service) {
        return acceptingByService.computeIfAbsent(service, this::findAccepting);
    }

    private List<Member> findAccepting(String service) {
        List<Member> accepting = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.service().equals(service)
                    && member.state().acceptsRequests()
                    && !evacuated.contains(member.zone())) {
                accepting.add(member);
            }
        }
        return List.copyOf(accepting);
    }

    /**
     * Replaces the set of evacuated availability zones.
     *
     * @param zones all evacuated zones
     */
    public void setEvacuatedZones(Set<Zone> zones) {
        evacuated = Set.copyOf(zones);
        acceptingByService.clear();
    }
}
