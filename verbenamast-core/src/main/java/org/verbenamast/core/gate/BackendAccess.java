package org.verbenamast.core.gate;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectStatus;
import org.verbenamast.core.gate.runs.RunStatus;
import org.verbenamast.core.request.RequestOutcome;

/** What the chart of a request may ask of and do at the way into the backend server. */
public interface BackendAccess {

    /**
     * Tells whether this node may have the request run now.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @return whether the backend server is there, and the node owns the key if there is one
     */
    boolean mayServe(ExecutionData data, long now);

    /**
     * Shows the sender of a request who owns its key, as far as this node knows.
     *
     * @param data the request
     * @param effects the sink of the effects
     */
    void showOwner(ExecutionData data, Effects effects);

    /**
     * Tells what is known of the runs of a request.
     *
     * @param data the request
     * @return what is known; {@link RunStatus#FRESH} for an idempotent request
     */
    RunStatus standing(ExecutionData data);

    /**
     * Returns how the recorded run of a request ended.
     *
     * @param data the request, whose standing is {@link RunStatus#ENDED}
     * @return the outcome
     */
    RequestOutcome recorded(ExecutionData data);

    /**
     * Tells whether crashes of backend servers speak against a request.
     *
     * @param data the request
     * @return whether it may run
     */
    SuspectStatus suspicion(ExecutionData data);

    /**
     * Notes that a request was refused for the crashes that it caused.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void refusedSuspect(ExecutionData data, long now, Effects effects);

    /**
     * Lets a request wait for the run of another send.
     *
     * @param data the request
     */
    void follow(ExecutionData data);

    /**
     * Lets a request no longer wait for the run of another send.
     *
     * @param data the request
     */
    void unfollow(ExecutionData data);

    /**
     * Tells whether the backend server takes new work at all.
     *
     * @return whether it is there and not draining
     */
    boolean isOpen();

    /**
     * Estimates how long one more request would wait.
     *
     * @return the time until the backend server can take it, in nanoseconds
     */
    long expectedWaitNanos();

    /**
     * Tells whether the backend server may be given one more request.
     *
     * @return whether it runs fewer than its limit
     */
    boolean hasSlot();

    /**
     * Tells whether one more request may wait.
     *
     * @return whether the queue is below its limit
     */
    boolean hasQueueRoom();

    /**
     * Gives a request to the backend server.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void call(ExecutionData data, long now, Effects effects);

    /**
     * Notes that the backend server is done with a request.
     *
     * @param data the request
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void release(ExecutionData data, ServerReply reply, long now, Effects effects);

    /**
     * Lets a request wait.
     *
     * @param data the request
     */
    void enqueue(ExecutionData data);

    /**
     * Takes a request out of the queue.
     *
     * @param data the request
     */
    void dequeue(ExecutionData data);

    /**
     * Tells the backend server that nobody waits for a request any more.
     *
     * @param data the request
     * @param effects the sink of the effects
     */
    void cancelAtServer(ExecutionData data, Effects effects);
}
