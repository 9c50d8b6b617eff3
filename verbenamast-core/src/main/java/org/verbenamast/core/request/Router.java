package org.verbenamast.core.request;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;

/** Chooses the members that requests are sent to, and keeps the statistics and budgets that the choice depends on. */
public interface Router {

    /**
     * Chooses a member for the next attempt of a request.
     *
     * @param data the data of the request
     * @param now the monotonic time, in nanoseconds
     * @return whether a member is available at present; if so, {@link #chosen()} returns it
     */
    boolean choose(RequestData data, long now);

    /**
     * Chooses another member for a hedge and spends one hedge from the budget.
     *
     * @param data the data of the request
     * @param now the monotonic time, in nanoseconds
     * @return whether a hedge may be sent; if so, {@link #chosen()} returns its member
     */
    boolean chooseHedge(RequestData data, long now);

    /**
     * Requests the chunk row that names the owner of the request's slice from another member of the service, because
     * this node may not have received the latest version yet.
     *
     * @param data the data of the request
     * @param effects receives the effects
     */
    void requestChunkRow(RequestData data, Effects effects);

    /**
     * Returns the member that was chosen last.
     *
     * @return the member, meaningful after a choice that returned true
     */
    MemberId chosen();

    /**
     * Returns how long an attempt may take before a hedge is sent.
     *
     * @param data the data of the request
     * @return the delay in nanoseconds, beyond any deadline if no hedge is sent
     */
    long hedgeDelayNanos(RequestData data);

    /**
     * Spends one retry from the budget of the request's service, unless the refusal does not count against the budget.
     *
     * @param data the data of the request
     * @param reason why the latest attempt was refused
     * @return whether the retry is allowed
     */
    boolean trySpendRetry(RequestData data, NotRunReason reason);

    /**
     * Records that a request was sent to a member.
     *
     * @param id the id of the request
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     */
    void addInFlight(RequestId id, MemberId member, long now);

    /**
     * Removes a request that is no longer in flight at a member.
     *
     * @param id the id of the request
     * @param member the member
     */
    void removeInFlight(RequestId id, MemberId member);

    /**
     * Records an attempt that is abandoned before its outcome is known, as a lower bound of the member's latency.
     *
     * @param attempt the abandoned attempt
     * @param now the monotonic time, in nanoseconds
     */
    void recordAbandoned(Attempt attempt, long now);

    /**
     * Records the end of an attempt: its latency if it was answered, and whether the member failed.
     *
     * @param data the data of the request
     * @param attempt the attempt that ended
     * @param outcome the outcome of the attempt, or null if the member could not be reached
     * @param now the monotonic time, in nanoseconds
     */
    void recordOutcome(RequestData data, Attempt attempt, RequestOutcome outcome, long now);
}
