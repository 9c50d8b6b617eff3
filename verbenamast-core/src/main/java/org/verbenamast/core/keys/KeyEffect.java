package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/** What the owner of keys wants done outside, besides calls to the store. */
public sealed interface KeyEffect extends Effect.RelayEffect {

    /**
     * Tells the node that plans how busy keys were.
     *
     * @param to the node
     * @param report the report
     */
    record TellHeat(Member to, KeyLoadReport report) implements KeyEffect {

        /** Checks the fields. */
        public TellHeat {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(report, "report");
        }
    }

    /**
     * Tells those who watch the node that its server is to hold keys that it did not hold.
     *
     * @param life the run of the server
     * @param keys the keys and their fencing token
     */
    record Granted(ServerIncarnation life, GrantedKeys keys) implements KeyEffect {

        /** Checks the fields. */
        public Granted {
            Objects.requireNonNull(life, "life");
            Objects.requireNonNull(keys, "keys");
        }
    }

    /**
     * Tells those who watch the node that its server is to drop keys that it held.
     *
     * @param life the run of the server
     * @param keys the keys and the fencing token under which they were held
     */
    record Withdrawn(ServerIncarnation life, GrantedKeys keys) implements KeyEffect {

        /** Checks the fields. */
        public Withdrawn {
            Objects.requireNonNull(life, "life");
            Objects.requireNonNull(keys, "keys");
        }
    }
}
