package org.verbenamast.core.gate;

import org.verbenamast.core.effect.Effects;

/** What the chart of a request may ask of and do at the way into the backend server. */
public interface Gate {

    /**
     * Tells whether this node may have the request run now.
     *
     * @param data the request
     * @param now the monotonic time, in nanoseconds
     * @return whether the backend server is there, and the node owns the key if there is one
     */
    boolean mayServe(ServeData data, long now);

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
    void call(ServeData data, long now, Effects effects);

    /**
     * Notes that the backend server is done with a request.
     *
     * @param data the request
     * @param reply how the call ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    void release(ServeData data, ServerReply reply, long now, Effects effects);

    /**
     * Lets a request wait.
     *
     * @param data the request
     */
    void enqueue(ServeData data);

    /**
     * Takes a request out of the queue.
     *
     * @param data the request
     */
    void dequeue(ServeData data);

    /**
     * Tells the backend server that nobody waits for a request any more.
     *
     * @param data the request
     * @param effects the sink of the effects
     */
    void cancelAtServer(ServeData data, Effects effects);
}
