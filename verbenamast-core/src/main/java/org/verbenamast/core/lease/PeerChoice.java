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
 * <p>Three members, each in another zone where there are enough zones, and in other zones than the holder's before its
 * own: then the loss of any one zone leaves a majority. Where only two other members exist, the holder itself is the
 * third on the list: the loss of either of the others still leaves a majority. Where one other member exists, it alone
 * is on the list. Where none exists, the list is empty, and the row in the table service is the lease.
 */
public final class PeerChoice {

    /** How many lease peers a member has where there are enough members. */
    public static final int WANTED = 3;

    private final MemberRow holder;
    private final Predicate<MemberId> usable;

    /**
     * Makes a choice for one member.
     *
     * @param holder the member's row, with its present lease peers
     * @param usable tells which members may be chosen, as far as the holder has noticed
     */
    public PeerChoice(MemberRow holder, Predicate<MemberId> usable) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.usable = Objects.requireNonNull(usable, "usable");
    }

    /**
     * Chooses lease peers and keeps the present ones where that does no harm.
     *
     * @param members all members that are known
     * @return the lease peers, in the order in which they are to take over
     */
    public List<MemberId> from(Collection<MemberRow> members) {
        Map<Zone, List<MemberRow>> zones = byZone(members);
        List<MemberId> chosen = new ArrayList<>();
        for (int round = 0; chosen.size() < WANTED && round < members.size(); round++) {
            takeRound(round, zones, chosen);
        }
        if (chosen.size() == WANTED - 1) {
            chosen.add(holder.id());
        }
        return inPresentOrder(chosen);
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

    private void takeRound(int round, Map<Zone, List<MemberRow>> zones, List<MemberId> chosen) {
        List<Zone> order = new ArrayList<>(zones.keySet());
        order.sort(Comparator.comparing((Zone zone) -> zone.equals(holder.zone()) == (round == 0))
                .thenComparing(zone -> !hasPeerAt(round, zones.get(zone)))
                .thenComparing(zone -> KeyHash.of(holder.id() + "/" + zone)));
        for (Zone zone : order) {
            List<MemberRow> inZone = zones.get(zone);
            if (chosen.size() < WANTED && round < inZone.size()) {
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

    private List<MemberId> inPresentOrder(List<MemberId> chosen) {
        boolean same = chosen.size() == holder.leasePeers().size()
                && holder.leasePeers().containsAll(chosen);
        return same ? holder.leasePeers() : List.copyOf(chosen);
    }
}
