package org.verbenamast.core.tenant;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.roster.Member;

/**
 * The input of the events of chart {@code cap-share}, a node's share of the caps.
 *
 * @param bank the member that is the bank in the node's view, for a report
 * @param report the report as it is if nothing is ceded
 * @param answer the answer of a bank
 */
public record ShareInput(Optional<Member> bank, Optional<CapReport> report, Optional<CapGrant> answer) {

    static final ShareInput NONE = new ShareInput(Optional.empty(), Optional.empty(), Optional.empty());

    /** Checks that no part is missing. */
    public ShareInput {
        Objects.requireNonNull(bank, "bank");
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(answer, "answer");
    }

    static ShareInput report(Optional<Member> bank, CapReport report) {
        return new ShareInput(bank, Optional.of(report), Optional.empty());
    }

    static ShareInput answer(CapGrant grant) {
        return new ShareInput(Optional.empty(), Optional.empty(), Optional.of(grant));
    }
}
