package org.verbenamast.core.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.verbenamast.core.model.MemberId;

/** Picks other members at random. */
final class PeerSampler {

    private final Directory directory;
    private final MemberId self;
    private final Random random;

    PeerSampler(Directory directory, MemberId self, Random random) {
        this.directory = directory;
        this.self = self;
        this.random = random;
    }

    /** Picks members whose incarnations have not ended; fewer where there are not as many. */
    Set<MemberId> pick(int count) {
        List<MemberId> living = directory.liveMembers();
        if (living.size() <= count + 1) {
            return others(living);
        }
        Set<MemberId> picked = new LinkedHashSet<>();
        while (picked.size() < count) {
            MemberId candidate = living.get(random.nextInt(living.size()));
            if (!candidate.equals(self)) {
                picked.add(candidate);
            }
        }
        return picked;
    }

    private Set<MemberId> others(List<MemberId> living) {
        Set<MemberId> others = new LinkedHashSet<>(living);
        others.remove(self);
        return others;
    }
}
