package org.verbenamast.core.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.model.MemberId;

/** Picks random members other than this node, from those whose incarnations have not ended. */
final class PeerSampler {

    private final Directory directory;
    private final MemberId self;
    private final Random random;

    PeerSampler(Directory directory, MemberId self, Random random) {
        this.directory = directory;
        this.self = self;
        this.random = random;
    }

    /** Returns the given number of members, each at most once, or all other members if there are not as many. */
    Set<MemberId> pick(int count) {
        List<MemberId> liveMembers = directory.liveMembers();
        if (liveMembers.size() <= count + 1) {
            return others(liveMembers);
        }
        Set<MemberId> picked = new LinkedHashSet<>();
        while (picked.size() < count) {
            MemberId candidate = liveMembers.get(random.nextInt(liveMembers.size()));
            if (!candidate.equals(self)) {
                picked.add(candidate);
            }
        }
        return picked;
    }

    private Set<MemberId> others(List<MemberId> liveMembers) {
        Set<MemberId> others = new LinkedHashSet<>(liveMembers);
        others.remove(self);
        return others;
    }
}
