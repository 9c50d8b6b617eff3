package org.verbenamast.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.membership.MemberStatus;
import org.verbenamast.core.model.KeyHash;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.Zone;

/**
 * Chooses the lease peers of a member.
 *
 * <p>A member has three lease peers. They are in three different zones if there are enough zones, and other zones are
 * preferred to the holder's own, so that the loss of any one zone leaves a majority. If only two other members exist,
 * the holder itself is the third on the list, so that the loss of either of the others still leaves a majority. If only
 * one other member exists, it is the only one on the list. If there is none, the list is empty, and the row in the
 * table service stands for the lease: each write of the row renews it.
 */
public final class PeerChoice {

    /** The number of lease peers of a member if there are enough members. */
    public static final int PEER_COUNT = 3;

    private final MemberRow holder;
    private final Predicate<MemberId> usable;

    /**
     * Creates the choice for one lease holder.
     *
     * @param holder the lease holder's row, with its current lease peers
     * @param usable returns whether a member may be chosen, that is, whether it answers the holder
     */
    public PeerChoice(MemberRow holder, Predicate<MemberId> usable) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.usable = Objects.requireNonNull(usable, "usable");
    }

    /**
     * Chooses lease peers and keeps the current ones where they satisfy the placement as well as others do.
     *
     * @param members all members that this node knows
     * @return the lease peers, in the order in which they take over
     */
    public List<MemberId> choose(Collection<MemberRow> members) {
        Map<Zone, List<MemberRow>> zones = byZone(members);
        List<MemberId> chosen = new ArrayList<>();
        for (int round = 0; chosen.size() < PEER_COUNT && round < members.size(); round++) {
            addRound(round, zones, chosen);
        }
        if (chosen.size() == PEER_COUNT - 1) {
            chosen.add(holder.id());
        }
        return inCurrentOrder(chosen);
    }

    private Map<Zone, List<MemberRow>> byZone(Collection<MemberRow> members) {
        Map<Zone, List<MemberRow>> zones = new TreeMap<>(Comparator.comparing(Zone::name));
        for (MemberRow member : members) {
            boolean active = member.status() == MemberStatus.ACTIVE;
            if (active && !member.id().equals(holder.id()) && usable.test(member.id())) {
                zones.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
            }
        }
        zones.values().forEach(inZone -> inZone.sort(preference()));
        return zones;
    }

    private Comparator<MemberRow> preference() {
        return Comparator.comparing((MemberRow member) -> !isPeer(member.id()))
                .thenComparing(member -> KeyHash.of(holder.id() + "/" + member.id()));
    }

    private void addRound(int round, Map<Zone, List<MemberRow>> zones, List<MemberId> chosen) {
        List<Zone> order = new ArrayList<>(zones.keySet());
        order.sort(Comparator.comparing((Zone zone) -> zone.equals(holder.zone()) == (round == 0))
                .thenComparing(zone -> !hasPeerAt(round, zones.get(zone)))
                .thenComparing(zone -> KeyHash.of(holder.id() + "/" + zone)));
        for (Zone zone : order) {
            List<MemberRow> inZone = zones.get(zone);
            if (chosen.size() < PEER_COUNT && round < inZone.size()) {
                chosen.add(inZone.get(round).id());
            }
        }
    }

    private boolean hasPeerAt(int round, List<MemberRow> inZone) {
        return round < inZone.size() && isPeer(inZone.get(round).id());
    }

    private boolean isPeer(MemberId id) {
        return holder.leasePeers().contains(id);
    }

    private List<MemberId> inCurrentOrder(List<MemberId> chosen) {
        boolean same = chosen.size() == holder.leasePeers().size()
                && holder.leasePeers().containsAll(chosen);
        return same ? holder.leasePeers() : List.copyOf(chosen);
    }
}
