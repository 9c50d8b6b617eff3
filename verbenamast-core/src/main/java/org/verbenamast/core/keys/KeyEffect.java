package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.roster.Member;

/** What the owner of keys wants done outside, besides calls to the store. */
public sealed interface KeyEffect extends Effect.Relayed {

    /**
     * Tells the node that plans how busy keys were.
     *
     * @param to the node
     * @param report the report
     */
    record TellHeat(Member to, HeatReport report) implements KeyEffect {

        /** Checks the fields. */
        public TellHeat {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(report, "report");
        }
    }
}
