package org.verbenamast.node.settings;

import org.verbenamast.core.check.Checks;

/**
 * The sizes that a node accepts.
 *
 * @param maxBodyBytes the longest body of a request or an answer, in bytes
 * @param maxFrameBytes the longest message between nodes, in bytes
 * @param queueLimit how many requests may wait for the backend server
 * @param defaultDeadlineMillis the deadline of a request that names none, in milliseconds
 */
public record NodeLimits(int maxBodyBytes, int maxFrameBytes, int queueLimit, long defaultDeadlineMillis) {

    /** Checks that each number is allowed. */
    public NodeLimits {
        Checks.positive("maxBodyBytes", maxBodyBytes);
        Checks.positive("maxFrameBytes", maxFrameBytes);
        Checks.notNegative("queueLimit", queueLimit);
        Checks.positive("defaultDeadlineMillis", defaultDeadlineMillis);
    }
}
