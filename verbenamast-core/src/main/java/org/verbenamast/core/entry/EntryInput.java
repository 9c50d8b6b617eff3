package org.verbenamast.core.entry;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.roster.Member;

/**
 * The input of the events of a request at its entry node.
 *
 * @param target the member that was selected, if any
 * @param lastChance whether the request is not sent to another member if this one refuses it
 * @param refusal why the request was refused or could not be routed
 * @param retryAfterMillis the expected time until the server has room, in milliseconds; 0 if unknown
 * @param failed whether the server's answer reports a failure of the server
 * @param withinBudget whether the retry budget has paid for one more send
 * @param attempt the number of the attempt that has ended; 0 for the main one
 */
public record EntryInput(
        Optional<Member> target,
        boolean lastChance,
        Refusal refusal,
        long retryAfterMillis,
        boolean failed,
        boolean withinBudget,
        int attempt) {

    static final EntryInput NONE = new EntryInput(Optional.empty(), false, Refusal.NO_SERVER, 0, false, false, 0);

    /** Checks the fields. */
    public EntryInput {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(refusal, "refusal");
    }

    static EntryInput routed(Optional<Member> target, boolean lastChance, Refusal refusal) {
        return new EntryInput(target, lastChance, refusal, 0, false, false, 0);
    }

    static EntryInput refused(Refusal refusal, long retryAfterMillis, boolean budget) {
        return new EntryInput(Optional.empty(), false, refusal, retryAfterMillis, false, budget, 0);
    }

    static EntryInput answered(boolean failed, boolean budget) {
        return new EntryInput(Optional.empty(), false, Refusal.NO_SERVER, 0, failed, budget, 0);
    }

    EntryInput of(int number) {
        return new EntryInput(target, lastChance, refusal, retryAfterMillis, failed, withinBudget, number);
    }
}
