package org.verbenamast.core.request;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/** Chooses the member whose backend server is to run a request. */
public interface Router {

    /**
     * Chooses a member for the next try of a request.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @return whether some member may take the request at present; {@link #chosen()} names it
     */
    boolean choose(RequestData data, long now);

    /**
     * Chooses another member for a second try beside the first, and takes it from the hedging budget.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @return whether a second try is made; {@link #chosen()} names the member
     */
    boolean chooseHedge(RequestData data, long now);

    /**
     * Asks another member of the service who owns the request's key, as this node may not have learnt it yet.
     *
     * @param data the request
     * @param effects the sink of the effects
     */
    void requestChunkRow(RequestData data, Effects effects);

    /**
     * Returns the member that was chosen last.
     *
     * @return the member
     */
    MemberId chosen();

    /**
     * Returns how long a try may last before a second one is made.
     *
     * @param data the request
     * @return the time in nanoseconds; beyond any deadline where no second try is made
     */
    long hedgeDelayNanos(RequestData data);

    /**
     * Takes one more try from the retry budget of the request's service.
     *
     * @param data the request
     * @param reason why the last try was refused
     * @return whether the budget pays for it
     */
    boolean trySpendRetry(RequestData data, NotRunReason reason);

    /**
     * Notes that a request is on its way to a member.
     *
     * @param id the request's identity
     * @param to the member
     * @param now the monotonic time, in nanoseconds
     */
    void addInFlight(RequestId id, MemberId to, long now);

    /**
     * Notes that a member no longer has a request.
     *
     * @param id the request's identity
     * @param at the member
     */
    void removeInFlight(RequestId id, MemberId at);

    /**
     * Learns from a try that is given up before its end is known.
     *
     * @param open the try
     * @param now the monotonic time, in nanoseconds
     */
    void recordAbandoned(Attempt open, long now);

    /**
     * Learns from the end of a try.
     *
     * @param data the request
     * @param ended the try
     * @param outcome how it ended, or null where the member could not be reached
     * @param now the monotonic time, in nanoseconds
     */
    void recordOutcome(RequestData data, Attempt ended, RequestOutcome outcome, long now);
}
