package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.hedge.HedgeRule;

/**
 * The policy by which a node routes requests of services that are not keyed.
 *
 * @param selector selects a member for each attempt
 * @param hedge decides when a hedge is sent
 */
public record RoutePolicy(MemberSelector selector, HedgeRule hedge) {

    /** The policy of nodes in production. */
    public static final RoutePolicy DEFAULT = new RoutePolicy(MemberSelector.SOONER_ANSWER, HedgeRule.WHEN_SLOW);

    /** Checks for nulls. */
    public RoutePolicy {
        Objects.requireNonNull(selector, "choice");
        Objects.requireNonNull(hedge, "hedge");
    }
}
