package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * The data of a request in chart {@code serve}.
 *
 * @param id the request's identity
 * @param attempt the number of the sender's latest attempt
 * @param from the member that sent the request
 * @param request the request
 * @param slice the slice that a member must own to run the request, or null where any member of the service may
 * @param runKey the key of its run record, or null where it is idempotent
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 */
public record ExecutionData(
        RequestId id, int attempt, MemberId from, CallerRequest request, SliceId slice, RunKey runKey, long deadline) {

    /** Checks that the attempt is positive and that only slice and run key are null. */
    public ExecutionData {
        Objects.requireNonNull(id, "id");
        Checks.positive("attempt", attempt);
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(request, "request");
    }

    /**
     * Returns this data with a later attempt of the sender.
     *
     * @param next the number of the attempt
     * @return the updated data
     */
    public ExecutionData withAttempt(int next) {
        return new ExecutionData(id, next, from, request, slice, runKey, deadline);
    }
}
