package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * What an event tells the promise to a holder.
 *
 * @param asker the member that asks, or {@link MemberId#NONE}
 * @param sentAt the time that the request carried, by the asker's clock in nanoseconds
 */
public record LeaseGrantorInput(MemberId asker, long sentAt) {

    /** The input of events that tell nothing more. */
    public static final LeaseGrantorInput NONE = new LeaseGrantorInput(MemberId.NONE, 0);

    /** Checks the asker. */
    public LeaseGrantorInput {
        Objects.requireNonNull(asker, "asker");
    }
}
