package org.verbenamast.core.request;

import java.util.List;
import java.util.Random;
import java.util.function.ToIntFunction;

import org.verbenamast.core.model.MemberId;

/** The ways of choosing a member of a service that is not keyed. */
public enum ServerChoice {
    /** Any member, with equal chances. A baseline. */
    RANDOM {
        @Override
        public MemberId choose(List<MemberId> members, ToIntFunction<MemberId> inFlight, Random random) {
            return members.get(random.nextInt(members.size()));
        }
    },
    /** The one of two random members that has fewer of this node's requests. */
    TWO_CHOICES {
        @Override
        public MemberId choose(List<MemberId> members, ToIntFunction<MemberId> inFlight, Random random) {
            MemberId first = members.get(random.nextInt(members.size()));
            MemberId second = members.get(random.nextInt(members.size()));
            return inFlight.applyAsInt(second) < inFlight.applyAsInt(first) ? second : first;
        }
    };

    /**
     * Chooses a member.
     *
     * @param members the members that may take the request; at least one
     * @param inFlight tells how many of this node's requests a member has
     * @param random the source of random numbers
     * @return one of the members
     */
    public abstract MemberId choose(List<MemberId> members, ToIntFunction<MemberId> inFlight, Random random);
}
