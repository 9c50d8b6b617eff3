package org.verbenamast.core.assign;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.verbenamast.core.model.MemberId;

/** Shares slices by weight and leaves as many as possible where they are. */
final class BalancedPlan {

    private final List<MemberId> owners;
    private final List<Candidate> candidates;
    private final Map<MemberId, Integer> owned = new HashMap<>();
    private final Map<MemberId, Integer> room = new HashMap<>();

    BalancedPlan(List<MemberId> owners, List<Candidate> candidates) {
        this.owners = owners;
        this.candidates = candidates;
        owners.forEach(owner -> owned.merge(owner, 1, Integer::sum));
    }

    List<MemberId> targets() {
        shareOut();
        List<MemberId> targets = new ArrayList<>();
        for (MemberId owner : owners) {
            targets.add(take(owner) ? owner : MemberId.NONE);
        }
        for (int slice = 0; slice < targets.size(); slice++) {
            if (targets.get(slice).isNone()) {
                targets.set(slice, takeFromRoomiest());
            }
        }
        return targets;
    }

    private void shareOut() {
        long weights = candidates.stream().mapToLong(Candidate::weight).sum();
        int rest = owners.size();
        for (Candidate candidate : candidates) {
            int share = weights == 0 ? 0 : (int) ((long) owners.size() * candidate.weight() / weights);
            room.put(candidate.member(), share);
            rest -= share;
        }
        List<Candidate> byNeed = new ArrayList<>(candidates);
        byNeed.removeIf(candidate -> candidate.weight() == 0 && weights > 0);
        byNeed.sort(Comparator.comparingInt((Candidate c) -> room.get(c.member()) - ownedBy(c.member()))
                .thenComparing(Candidate::member));
        for (int i = 0; rest > 0; i++, rest--) {
            room.merge(byNeed.get(i % byNeed.size()).member(), 1, Integer::sum);
        }
    }

    private int ownedBy(MemberId member) {
        return owned.getOrDefault(member, 0);
    }

    private boolean take(MemberId member) {
        int left = room.getOrDefault(member, 0);
        if (left == 0) {
            return false;
        }
        room.put(member, left - 1);
        return true;
    }

    private MemberId takeFromRoomiest() {
        MemberId roomiest = candidates.get(0).member();
        for (Candidate candidate : candidates) {
            if (room.get(candidate.member()) > room.get(roomiest)) {
                roomiest = candidate.member();
            }
        }
        room.merge(roomiest, -1, Integer::sum);
        return roomiest;
    }
}
