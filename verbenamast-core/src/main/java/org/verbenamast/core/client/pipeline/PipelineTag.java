package org.verbenamast.core.client.pipeline;

/** The tags of the states of a caller's connection. */
public enum PipelineTag {
    /** The last request has begun. */
    LAST_KNOWN,
    /** This node sends nothing more. */
    SENDS_NO_MORE
}
