package org.verbenamast.core.request;

import java.util.Objects;
import java.util.Optional;

import org.verbenamast.core.chart.Chart;
import org.verbenamast.core.chart.ChartInstances;
import org.verbenamast.core.chart.Instance;
import org.verbenamast.core.chart.NoTag;
import org.verbenamast.core.chart.TransitionListener;
import org.verbenamast.core.chart.Vocabulary;
import org.verbenamast.core.chart.file.ChartReader;
import org.verbenamast.core.effect.Effect;
import org.verbenamast.core.effect.Effects;
import org.verbenamast.core.membership.MemberRow;
import org.verbenamast.core.message.PeerMessage;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.model.ServiceSettings;
import org.verbenamast.core.node.CoreSettings;
import org.verbenamast.core.store.Row;

/** The requests that this node took from callers. */
public final class RequestController {

    /** The names that the chart file may use. */
    public static final Vocabulary<RequestEvent, RequestGuard, RequestAction, RequestTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    RequestEvent.class, RequestGuard.class, RequestAction.class, RequestTimer.class, NoTag.class);

    private final CoreSettings settings;
    private final DirectoryRouter router;
    private final ChartInstances<RequestId, RequestEvent, RequestData, RequestInput> requests;
    private final RequestInput plain;

    /**
     * Makes a desk without requests.
     *
     * @param settings the node's settings
     * @param router chooses where requests go
     * @param listener is told of each transition
     */
    public RequestController(CoreSettings settings, DirectoryRouter router, TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.router = Objects.requireNonNull(router, "router");
        this.plain = new RequestInput(router, 0, null);
        Chart<RequestEvent, RequestData, RequestInput> chart = ChartReader.bundled("entry", VOCABULARY);
        this.requests = new ChartInstances<>(chart, event -> plain, listener);
    }

    /**
     * Takes a request from its caller.
     *
     * @param id the request's identity
     * @param request the request
     * @param deadline the monotonic time at which the caller gives up, in nanoseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void arrived(RequestId id, CallerRequest request, long deadline, long now, Effects effects) {
        Optional<NotRunReason> fault = faultOf(request);
        if (fault.isPresent()) {
            effects.emit(new Effect.ReplyToCaller(id, new RequestOutcome.NotRun(fault.get())));
            return;
        }
        requests.begin(id, RequestData.arrived(id, request, deadline), now);
        requests.fire(id, RequestEvent.ROUTE, plain, now, effects);
    }

    private Optional<NotRunReason> faultOf(CallerRequest request) {
        Optional<ServiceSettings> service = settings.serviceOf(request.service());
        if (service.isEmpty()) {
            return Optional.of(NotRunReason.UNKNOWN_SERVICE);
        }
        boolean keyMissing = service.get().keyed() && request.key().isEmpty();
        return keyMissing ? Optional.of(NotRunReason.MISSING_KEY) : Optional.empty();
    }

    /**
     * Takes the end of a try at the member that had it. The end of another try than those under way is ignored.
     *
     * @param from the member
     * @param ended how the try ended
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void ended(MemberId from, PeerMessage.Ended ended, long now, Effects effects) {
        fire(ended.id(), from, ended.attempt(), RequestEvent.ENDED, ended.outcome(), now, effects);
    }

    private void fire(
            RequestId id,
            MemberId member,
            int attempt,
            RequestEvent event,
            RequestOutcome outcome,
            long now,
            Effects effects) {
        Instance<RequestData> request = requests.find(id);
        Optional<Attempt> open =
                request == null ? Optional.empty() : request.data().openTry(attempt);
        if (open.isPresent() && open.get().member().equals(member)) {
            requests.fire(id, event, new RequestInput(router, attempt, outcome), now, effects);
        }
    }

    /**
     * Takes back a try that was certainly not sent.
     *
     * @param to the member it was meant for
     * @param forward the try
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void notSent(MemberId to, PeerMessage.Forward forward, long now, Effects effects) {
        fire(forward.id(), to, forward.attempt(), RequestEvent.NOT_SENT, null, now, effects);
    }

    /**
     * Ends or routes again the requests that a member had when the link to it broke.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void linkLost(MemberId member, long now, Effects effects) {
        for (RequestId id : router.at(member)) {
            for (Attempt open : requests.find(id).data().tries()) {
                fire(id, member, open.attempt(), RequestEvent.LINK_LOST, null, now, effects);
            }
        }
    }

    /**
     * Forgets a member when its row says that its incarnation has ended.
     *
     * @param row a row that the directory has learnt
     * @param now the monotonic time, in nanoseconds
     */
    public void learnt(Row row, long now) {
        if (row.value() instanceof MemberRow member && member.status().hasEnded()) {
            router.forget(member.id(), now);
        }
    }

    /**
     * Gives up a request whose caller is gone.
     *
     * @param id the request's identity
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void callerGone(RequestId id, long now, Effects effects) {
        requests.fire(id, RequestEvent.CALLER_GONE, plain, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects the sink of the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
    }

    /**
     * Returns when this desk has something to do next.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return requests.nextDue();
    }

    /**
     * Returns how many requests are under way.
     *
     * @return the number
     */
    public int open() {
        return requests.size();
    }
}
