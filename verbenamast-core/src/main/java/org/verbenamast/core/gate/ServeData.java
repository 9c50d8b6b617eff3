package org.verbenamast.core.gate;

import java.util.Objects;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.SliceId;
import org.verbenamast.core.request.CallerRequest;

/**
 * The data of a request at the member whose backend server is to run it.
 *
 * @param id the request's identity
 * @param from the member that sent the request
 * @param request the request
 * @param slice the slice of the request's key, or null where the service is not keyed
 * @param deadline the monotonic time at which the caller gives up, in nanoseconds
 */
public record ServeData(RequestId id, MemberId from, CallerRequest request, SliceId slice, long deadline) {

    /** Checks the parts. */
    public ServeData {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(request, "request");
    }
}
