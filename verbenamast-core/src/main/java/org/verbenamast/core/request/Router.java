package org.verbenamast.core.request;

import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/** Chooses the member whose backend server is to run a request. */
public interface Router {

    /**
     * Chooses a member.
     *
     * @param request the request
     * @return the member, or {@link MemberId#NONE} where none may take the request at present
     */
    MemberId route(CallerRequest request);

    /**
     * Notes that a request is on its way to a member.
     *
     * @param id the request's identity
     * @param to the member
     */
    void sent(RequestId id, MemberId to);

    /**
     * Notes that a member no longer has a request.
     *
     * @param id the request's identity
     * @param at the member
     */
    void left(RequestId id, MemberId at);
}
