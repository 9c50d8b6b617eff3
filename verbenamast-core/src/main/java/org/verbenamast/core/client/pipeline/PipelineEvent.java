package org.verbenamast.core.client.pipeline;

/** The events of a caller's connection. */
public enum PipelineEvent {
    /** The head of the next request has arrived. */
    REQUEST_READ,
    /** The body of the request that was begun last has arrived. */
    BODY_READ,
    /** The first request that is not answered yet gets its answer. */
    ANSWERING,
    /** That answer is complete. */
    ANSWERED,
    /** The caller has had enough time to read the last answer. */
    LINGER_OVER,
    /** The connection can't be used any more. */
    CONNECTION_LOST
}
