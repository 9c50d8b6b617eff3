package org.verbenamast.core.entry;

import java.util.Objects;
import java.util.Optional;

/**
 * The open attempts of a request, of which there are two while a hedge is open.
 *
 * @param main the open attempt that is not a hedge, or the last one
 * @param hedge the hedge, if one is open
 * @param hedgeDelayNanos how long the first attempt may take before a hedge is sent, in nanoseconds
 */
public record EntryAttempts(Optional<SentAttempt> main, Optional<SentAttempt> hedge, long hedgeDelayNanos) {

    /** Checks the fields. */
    public EntryAttempts {
        Objects.requireNonNull(main, "main");
        Objects.requireNonNull(hedge, "hedge");
    }

    static EntryAttempts none(long hedgeDelayNanos) {
        return new EntryAttempts(Optional.empty(), Optional.empty(), hedgeDelayNanos);
    }

    EntryAttempts withMain(SentAttempt attempt) {
        return new EntryAttempts(Optional.of(attempt), hedge, hedgeDelayNanos);
    }

    EntryAttempts withHedge(SentAttempt attempt) {
        return new EntryAttempts(main, Optional.of(attempt), hedgeDelayNanos);
    }

    /** Returns the attempts with a given one as the main one, and the other one as the hedge. */
    EntryAttempts withMain(int number) {
        boolean isHedge = hedge.filter(attempt -> attempt.number() == number).isPresent();
        return isHedge ? new EntryAttempts(hedge, main, hedgeDelayNanos) : this;
    }

    EntryAttempts withHedgeAlone() {
        return new EntryAttempts(hedge, Optional.empty(), hedgeDelayNanos);
    }

    /** Returns an open attempt by its number; the main one if none has it. */
    SentAttempt find(int number) {
        return hedge.filter(attempt -> attempt.number() == number).orElseGet(main::orElseThrow);
    }
}
