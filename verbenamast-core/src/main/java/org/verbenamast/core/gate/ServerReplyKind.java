package org.verbenamast.core.gate;

import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The ways in which a call to the backend server may end. */
public enum ServerReplyKind {
    /** The backend server answered. */
    ANSWERED {
        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return reply.answer();
        }
    },
    /** The backend server refused the request without running it. */
    SHED {
        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SHED);
        }
    },
    /** The backend server was never given the request. */
    UNREACHABLE {
        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SERVER_UNREACHABLE);
        }
    },
    /** The connection broke while the backend server had the request. */
    LOST {
        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.Unknown(UnknownReason.SERVER_LOST);
        }
    };

    /**
     * Derives the request's outcome.
     *
     * @param reply how the call ended
     * @return the outcome
     */
    public abstract RequestOutcome outcome(ServerReply reply);
}
