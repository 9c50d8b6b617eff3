package org.verbenamast.core.gate;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.gate.limit.ServerEvent;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The ways in which a call to the backend server may end. */
public enum ServerReplyKind {
    /** The backend server answered. */
    ANSWERED(ServerEvent.SUCCEEDED) {
        @Override
        void testify(SuspectController suspects, CallerRequest request, String start, long now, Effects effects) {
            suspects.answered(request, now, effects);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return reply.answer();
        }
    },
    /** The backend server refused the request without running it. */
    SHED(ServerEvent.SHED) {
        @Override
        void testify(SuspectController suspects, CallerRequest request, String start, long now, Effects effects) {
            suspects.released(request);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SHED);
        }
    },
    /** The backend server was never given the request. */
    UNREACHABLE(ServerEvent.CONNECTION_FAILED) {
        @Override
        void testify(SuspectController suspects, CallerRequest request, String start, long now, Effects effects) {
            suspects.released(request);
            suspects.unreachable(now, effects);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SERVER_UNREACHABLE);
        }
    },
    /** The connection broke while the backend server had the request. */
    LOST(ServerEvent.CONNECTION_LOST) {
        @Override
        void testify(SuspectController suspects, CallerRequest request, String start, long now, Effects effects) {
            suspects.lost(request, start, now, effects);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.Unknown(UnknownReason.SERVER_LOST);
        }
    };

    private final ServerEvent serverEvent;

    ServerReplyKind(ServerEvent serverEvent) {
        this.serverEvent = serverEvent;
    }

    /**
     * Tells what this end says of the request as a possible cause of crashes.
     *
     * @param suspects takes what it says
     * @param request the request
     * @param start the start id of the run of the backend server that had the request
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    abstract void testify(SuspectController suspects, CallerRequest request, String start, long now, Effects effects);

    /**
     * Returns what this end says of the backend server.
     *
     * @return the event in the backend server's chart
     */
    public ServerEvent serverEvent() {
        return serverEvent;
    }

    /**
     * Derives the request's outcome.
     *
     * @param reply how the call ended
     * @return the outcome
     */
    public abstract RequestOutcome outcome(ServerReply reply);
}
