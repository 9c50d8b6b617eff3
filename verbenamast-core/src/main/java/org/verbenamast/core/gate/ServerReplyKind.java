package org.verbenamast.core.gate;

import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.gate.crash.SuspectController;
import org.verbenamast.core.gate.limit.ServerEvent;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.NotRunReason;
import org.verbenamast.core.request.RequestOutcome;
import org.verbenamast.core.request.UnknownReason;

/** The kinds of result of a call to the backend server. */
public enum ServerReplyKind {
    /** The backend server answered. */
    ANSWERED(ServerEvent.SUCCEEDED) {
        @Override
        void reportTo(SuspectController suspects, CallerRequest request, String startId, long now, Effects effects) {
            suspects.onAnswer(request, now, effects);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return reply.answer();
        }
    },
    /** The backend server refused the request without running it. */
    SHED(ServerEvent.SHED) {
        @Override
        void reportTo(SuspectController suspects, CallerRequest request, String startId, long now, Effects effects) {
            suspects.onNotRun(request);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SHED);
        }
    },
    /** No connection to the backend server could be opened, so the request was not sent. */
    UNREACHABLE(ServerEvent.CONNECTION_FAILED) {
        @Override
        void reportTo(SuspectController suspects, CallerRequest request, String startId, long now, Effects effects) {
            suspects.onNotRun(request);
            suspects.onServerUnreachable(now, effects);
        }

        @Override
        public RequestOutcome outcome(ServerReply reply) {
            return new RequestOutcome.NotRun(NotRunReason.SERVER_UNREACHABLE);
        }
    },
    /** The connection broke while the backend server had the request, which may have run. */
    LOST(ServerEvent.CONNECTION_LOST) {
        @Override
        void reportTo(SuspectController suspects, CallerRequest request, String startId, long now, Effects effects) {
            suspects.onConnectionLost(request, startId, now, effects);
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
     * Reports this result to the controller of requests that may crash backend servers.
     *
     * @param suspects receives the report
     * @param request the request
     * @param startId the start id of the server incarnation that had the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    abstract void reportTo(
            SuspectController suspects, CallerRequest request, String startId, long now, Effects effects);

    /**
     * Returns the event that this result is for the backend server.
     *
     * @return the event in chart {@code server}
     */
    public ServerEvent serverEvent() {
        return serverEvent;
    }

    /**
     * Returns the outcome of the request.
     *
     * @param reply how the call ended
     * @return the outcome
     */
    public abstract RequestOutcome outcome(ServerReply reply);
}
