package org.verbenamast.core.client.pipeline;

import org.verbenamast.core.check.Checks;

/**
 * The data of a caller's connection.
 *
 * @param unanswered the requests that were begun and whose answers are not complete
 * @param persistent whether further requests may follow the one that was begun last
 * @param bodyRead whether the body of the request that was begun last has arrived
 * @param maxUnanswered the most requests that may be unanswered at once
 */
public record PipelineData(long unanswered, boolean persistent, boolean bodyRead, long maxUnanswered) {

    /** Checks the numbers. */
    public PipelineData {
        Checks.notNegative("unanswered", unanswered);
        Checks.positive("maxUnanswered", maxUnanswered);
    }

    static PipelineData initial(long maxUnanswered) {
        return new PipelineData(0, true, true, maxUnanswered);
    }

    PipelineData withRequest(boolean nextPersistent) {
        return new PipelineData(unanswered + 1, nextPersistent, false, maxUnanswered);
    }

    PipelineData withAnswer() {
        return new PipelineData(unanswered - 1, persistent, bodyRead, maxUnanswered);
    }

    PipelineData withBodyRead() {
        return new PipelineData(unanswered, persistent, true, maxUnanswered);
    }
}
