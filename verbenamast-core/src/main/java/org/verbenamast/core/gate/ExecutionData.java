package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.check.Checks;
import org.verbenamast.core.gate.runs.RunKey;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * The data of a request at the member whose backend server is to run it.
 *
 * @param id the request's identity
 * @param attempt the number of the sender's latest try
 * @param from the member that sent the request
 * @param request the request
 * @param slice the slice that must be owned to run it, or null where any member of the service may
 * @param run what identifies its runs, or null where it is idempotent
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 */
public record ExecutionData(
        RequestId id, int attempt, MemberId from, CallerRequest request, SliceId slice, RunKey run, long deadline) {

    /** Checks the parts. */
    public ExecutionData {
        Objects.requireNonNull(id, "id");
        Checks.positive("attempt", attempt);
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(request, "request");
    }

    /**
     * Returns this data with a later try of the sender.
     *
     * @param next the number of the try
     * @return the changed data
     */
    public ExecutionData withAttempt(int next) {
        return new ExecutionData(id, next, from, request, slice, run, deadline);
    }
}
