package org.verbenamast.core.lease;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;

/**
 * The input of an event in the chart of the lease that this node grants a lease holder.
 *
 * @param sender the member that sent the request, or {@link MemberId#NONE}
 * @param sentAt the time that a lease request carried, by the sender's clock in nanoseconds; 0 for other events
 */
public record LeaseGrantorInput(MemberId sender, long sentAt) {

    /** The input of events that carry no data. */
    public static final LeaseGrantorInput NONE = new LeaseGrantorInput(MemberId.NONE, 0);

    /** Checks that the sender is not null. */
    public LeaseGrantorInput {
        Objects.requireNonNull(sender, "sender");
    }
}
