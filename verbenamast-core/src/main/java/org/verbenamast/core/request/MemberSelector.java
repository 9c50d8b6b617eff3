package org.verbenamast.core.request;

import java.util.List;
import java.util.Random;

import org.verbenamast.core.model.MemberId;

/** The ways of choosing a member of a service that is not keyed. */
public enum MemberSelector {
    /** Any member, with equal chances. A baseline. */
    RANDOM {
        @Override
        public MemberId choose(List<MemberId> members, MemberStats signals, Random random, long now) {
            return members.get(random.nextInt(members.size()));
        }
    },
    /** One member after the other. A baseline. */
    ROUND_ROBIN {
        @Override
        public MemberId choose(List<MemberId> members, MemberStats signals, Random random, long now) {
            return members.get((int) (signals.nextTurn() % members.size()));
        }
    },
    /** The one of two random members that has fewer of this node's requests. A baseline. */
    FEWER_IN_FLIGHT {
        @Override
        public MemberId choose(List<MemberId> members, MemberStats signals, Random random, long now) {
            MemberId first = members.get(random.nextInt(members.size()));
            MemberId second = secondCandidate(members, first, random);
            return signals.inFlight(second) < signals.inFlight(first) ? second : first;
        }
    },
    /** The one of two random members whose recent latency and requests in flight promise the sooner answer. */
    SOONER_ANSWER {
        @Override
        public MemberId choose(List<MemberId> members, MemberStats signals, Random random, long now) {
            MemberId first = members.get(random.nextInt(members.size()));
            MemberId second = secondCandidate(members, first, random);
            return signals.cost(second, now) < signals.cost(first, now) ? second : first;
        }
    };

    /**
     * Chooses a member.
     *
     * @param members the members that may take the request; at least one
     * @param signals what this node has seen of the members
     * @param random the source of random numbers
     * @param now the monotonic time, in nanoseconds
     * @return one of the members
     */
    public abstract MemberId choose(List<MemberId> members, MemberStats signals, Random random, long now);

    private static MemberId secondCandidate(List<MemberId> members, MemberId first, Random random) {
        if (members.size() == 1) {
            return first;
        }
        int at = random.nextInt(members.size() - 1);
        MemberId second = members.get(at);
        return second.equals(first) ? members.get(members.size() - 1) : second;
    }
}
