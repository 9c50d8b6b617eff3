package org.verbenamast.core.request;

import java.util.Objects;

/**
 * The ways in which a node sends requests to the members of services that are not keyed.
 *
 * @param selector how a member is chosen
 * @param hedge when a second try is made
 */
public record RoutePolicy(MemberSelector selector, HedgeRule hedge) {

    /** What nodes do. */
    public static final RoutePolicy DEFAULT = new RoutePolicy(MemberSelector.SOONER_ANSWER, HedgeRule.WHEN_SLOW);

    /** Checks the parts. */
    public RoutePolicy {
        Objects.requireNonNull(selector, "choice");
        Objects.requireNonNull(hedge, "hedge");
    }
}
