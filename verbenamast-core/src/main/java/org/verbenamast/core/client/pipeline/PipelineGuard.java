package org.verbenamast.core.client.pipeline;

import org.verbenamast.core.chart.Guard;

/** The guards in the chart of a caller's connection. */
public enum PipelineGuard implements Guard<PipelineData, PipelineInput> {
    /**
     * The request may not begin before those in front of it are answered. One that runs at most once waits because a
     * broken answer in front of it ends the connection, and its outcome would be lost.
     */
    MUST_WAIT {
        @Override
        public boolean permits(PipelineData data, PipelineInput input, long now) {
            return data.unanswered() > 0
                    && (input.stopping()
                            || !data.persistent()
                            || !input.persistent()
                            || data.unanswered() >= data.maxUnanswered()
                            || input.heldBytes() > MAX_HELD_BYTES
                            || !input.repeatable().getAsBoolean());
        }
    },
    /** The request is the last one on the connection. */
    IS_LAST {
        @Override
        public boolean permits(PipelineData data, PipelineInput input, long now) {
            return input.last() || input.stopping();
        }
    },
    /**
     * The answer is the last one on the connection. A stopping node ends the connection after the last request that it
     * has begun, so that none of these is lost.
     */
    ANSWER_IS_LAST {
        @Override
        public boolean permits(PipelineData data, PipelineInput input, long now) {
            return input.last() || input.stopping() && data.unanswered() == 1;
        }
    },
    /** Requests stay unanswered after this answer. */
    MORE_TO_ANSWER {
        @Override
        public boolean permits(PipelineData data, PipelineInput input, long now) {
            return data.unanswered() > 1;
        }
    },
    /** The body of the last request has arrived. */
    BODY_ENDED {
        @Override
        public boolean permits(PipelineData data, PipelineInput input, long now) {
            return data.bodyRead();
        }
    };

    /** Held bytes of a connection from which on no further request is begun, in bytes. */
    static final long MAX_HELD_BYTES = 1024 * 1024;
}
