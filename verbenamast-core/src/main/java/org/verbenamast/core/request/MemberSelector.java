package org.verbenamast.core.request;

import java.util.List;
import java.util.Random;

import org.verbenamast.core.model.MemberId;

/** Selects a member of a service that is not keyed. */
public enum MemberSelector {
    /** Selects any member with equal probability. Serves as a baseline in comparisons. */
    RANDOM {
        @Override
        public MemberId select(List<MemberId> members, MemberStats stats, Random random, long now) {
            return members.get(random.nextInt(members.size()));
        }
    },
    /** Selects the members in turn. Serves as a baseline in comparisons. */
    ROUND_ROBIN {
        @Override
        public MemberId select(List<MemberId> members, MemberStats stats, Random random, long now) {
            return members.get((int) (stats.nextTurn() % members.size()));
        }
    },
    /** Selects the one of two random members with fewer requests in flight. Serves as a baseline in comparisons. */
    FEWER_IN_FLIGHT {
        @Override
        public MemberId select(List<MemberId> members, MemberStats stats, Random random, long now) {
            MemberId first = members.get(random.nextInt(members.size()));
            MemberId second = secondCandidate(members, first, random);
            return stats.inFlight(second) < stats.inFlight(first) ? second : first;
        }
    },
    /** Selects the one of two random members that should answer sooner, by recent latency and requests in flight. */
    SOONER_ANSWER {
        @Override
        public MemberId select(List<MemberId> members, MemberStats stats, Random random, long now) {
            MemberId first = members.get(random.nextInt(members.size()));
            MemberId second = secondCandidate(members, first, random);
            return stats.cost(second, now) < stats.cost(first, now) ? second : first;
        }
    };

    /**
     * Selects a member.
     *
     * @param members the members that are eligible for the request, at least one
     * @param stats the latencies and requests in flight at the members, as this node observes them
     * @param random the random number generator
     * @param now the monotonic time, in nanoseconds
     * @return the selected member
     */
    public abstract MemberId select(List<MemberId> members, MemberStats stats, Random random, long now);

    private static MemberId secondCandidate(List<MemberId> members, MemberId first, Random random) {
        if (members.size() == 1) {
            return first;
        }
        int index = random.nextInt(members.size() - 1);
        MemberId second = members.get(index);
        return second.equals(first) ? members.get(members.size() - 1) : second;
    }
}
