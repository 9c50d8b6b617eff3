package org.verbenamast.core.gate;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.runs.RunStatus;
import org.verbenamast.core.request.RequestOutcome;

/** The access to the backend server as chart {@code serve} uses it: what its guards query and its actions do. */
public interface BackendAccess {

    /**
     * Returns whether this node may run a request now.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @return whether the node is ready and joined, and owns the slice if the request has one
     */
    boolean mayExecute(ExecutionData data, long now);

    /**
     * Sends the sender of a request the row that names the owner of its slice, as far as this node knows it.
     *
     * @param data the request
     * @param effects receives the effects
     */
    void sendOwnerRow(ExecutionData data, Effects effects);

    /**
     * Returns what this node knows of the runs of a request.
     *
     * @param data the request
     * @return the run status; {@link RunStatus#FRESH} for an idempotent request
     */
    RunStatus runStatus(ExecutionData data);

    /**
     * Returns the recorded outcome of the run of a request.
     *
     * @param data the request, whose run status is {@link RunStatus#ENDED}
     * @return the outcome
     */
    RequestOutcome recordedOutcome(ExecutionData data);

    /**
     * Returns whether a request is suspected of crashing backend servers.
     *
     * @param data the request
     * @return whether the suspicion lets it run
     */
    SuspectStatus suspectStatus(ExecutionData data);

    /**
     * Records that a request was refused because it crashed backend servers.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void onSuspectRefused(ExecutionData data, long now, Effects effects);

    /**
     * Makes a request wait for the outcome of another send under the same idempotency key.
     *
     * @param data the request
     */
    void follow(ExecutionData data);

    /**
     * Stops a request from waiting for the outcome of another send.
     *
     * @param data the request
     */
    void unfollow(ExecutionData data);

    /**
     * Returns whether the backend server accepts new requests at all.
     *
     * @return whether it is present and not draining
     */
    boolean isOpen();

    /**
     * Estimates how long one more request would wait.
     *
     * @return the time until the backend server has a free slot for it, in nanoseconds
     */
    long expectedWaitNanos();

    /**
     * Returns whether the backend server has a free slot.
     *
     * @return whether it runs fewer requests than its concurrency limit
     */
    boolean hasSlot();

    /**
     * Returns whether the queue has room for one more request.
     *
     * @return whether the queue is below its limit
     */
    boolean hasQueueRoom();

    /**
     * Sends a request to the backend server.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void callServer(ExecutionData data, long now, Effects effects);

    /**
     * Frees the slot of a request that the backend server is done with, and records how the call ended.
     *
     * @param data the request
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    void releaseSlot(ExecutionData data, ServerReply reply, long now, Effects effects);

    /**
     * Appends a request to the queue.
     *
     * @param data the request
     */
    void enqueue(ExecutionData data);

    /**
     * Removes a request from the queue.
     *
     * @param data the request
     */
    void dequeue(ExecutionData data);

    /**
     * Cancels a request at the backend server, because its sender no longer waits.
     *
     * @param data the request
     * @param effects receives the effects
     */
    void cancelAtServer(ExecutionData data, Effects effects);
}
