package org.verbenamast.core.keys;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.roster.Member;
import org.verbenamast.core.roster.ServerIncarnation;

/** The effects of {@link KeyController}, apart from calls to the store. */
public sealed interface KeyEffect extends Effect.RelayEffect {

    /**
     * Sends a load report to the planner, the node that decides which keys move.
     *
     * @param to the planner
     * @param report the report
     */
    record SendLoadReport(Member to, KeyLoadReport report) implements KeyEffect {

        /** Checks the fields. */
        public SendLoadReport {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(report, "report");
        }
    }

    /**
     * Reports, for logging, keys that are newly granted to the server.
     *
     * @param incarnation the incarnation of the server
     * @param keys the keys and their fencing token
     */
    record Granted(ServerIncarnation incarnation, GrantedKeys keys) implements KeyEffect {

        /** Checks the fields. */
        public Granted {
            Objects.requireNonNull(incarnation, "incarnation");
            Objects.requireNonNull(keys, "keys");
        }
    }

    /**
     * Reports, for logging, keys that were withdrawn: they are no longer part of the server's grant.
     *
     * @param incarnation the incarnation of the server
     * @param keys the keys and the fencing token under which they were granted
     */
    record Withdrawn(ServerIncarnation incarnation, GrantedKeys keys) implements KeyEffect {

        /** Checks the fields. */
        public Withdrawn {
            Objects.requireNonNull(incarnation, "incarnation");
            Objects.requireNonNull(keys, "keys");
        }
    }
}
