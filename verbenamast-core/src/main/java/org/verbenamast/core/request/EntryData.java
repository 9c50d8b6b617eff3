package org.verbenamast.core.request;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/**
 * The data of a request at the member that took it from its caller.
 *
 * @param id the request's identity
 * @param request the request
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 * @param at the member that has the request, or {@link MemberId#NONE}
 * @param lastRefusal why it was refused last
 */
public record EntryData(RequestId id, CallerRequest request, long deadline, MemberId at, NotRunReason lastRefusal) {

    /** Checks the parts. */
    public EntryData {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(at, "at");
        Objects.requireNonNull(lastRefusal, "lastRefusal");
    }

    /**
     * Returns this data with the member that has the request.
     *
     * @param member the member
     * @return the changed data
     */
    public EntryData sentTo(MemberId member) {
        return new EntryData(id, request, deadline, member, lastRefusal);
    }

    /**
     * Returns this data with the reason of the last refusal.
     *
     * @param reason the reason
     * @return the changed data
     */
    public EntryData refused(NotRunReason reason) {
        return new EntryData(id, request, deadline, MemberId.NONE, reason);
    }
}
