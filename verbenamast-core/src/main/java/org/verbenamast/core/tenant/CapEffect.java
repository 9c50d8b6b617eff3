package org.verbenamast.core.tenant;

import java.util.Objects;

import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.roster.Member;

/** The effects of {@link CapController}. */
public sealed interface CapEffect extends Effect.RelayEffect {

    /**
     * Sends a report to the bank.
     *
     * @param to the member that is the bank
     * @param report the report
     */
    record SendReport(Member to, CapReport report) implements CapEffect {

        /** Checks the fields. */
        public SendReport {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(report, "report");
        }
    }

    /**
     * Sends the bank's answer to a report.
     *
     * @param to the member that sent the report
     * @param grant the answer
     */
    record SendGrant(Member to, CapGrant grant) implements CapEffect {

        /** Checks the fields. */
        public SendGrant {
            Objects.requireNonNull(to, "to");
            Objects.requireNonNull(grant, "grant");
        }
    }

    /**
     * Lets a request that has waited for a token go on.
     *
     * @param id the number under which its entry node keeps the request
     * @param tokenExpiresAt until when the token is valid, in nanoseconds of the monotonic clock
     */
    record Admit(long id, long tokenExpiresAt) implements CapEffect {}

    /**
     * Refuses a request that has waited for a token: it lies beyond the cap, or no bank answers.
     *
     * @param id the number under which its entry node keeps the request
     * @param retryAfterMillis when there will be a token, in milliseconds
     */
    record Refuse(long id, long retryAfterMillis) implements CapEffect {}
}
