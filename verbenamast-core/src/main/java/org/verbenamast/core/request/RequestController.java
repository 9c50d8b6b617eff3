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

/** Controls the requests for which this node is the entry node, that is, those it received from their callers. */
public final class RequestController {

    /** The names that the chart file may use. */
    public static final Vocabulary<RequestEvent, RequestGuard, RequestAction, RequestTimer, NoTag> VOCABULARY =
            new Vocabulary<>(
                    RequestEvent.class, RequestGuard.class, RequestAction.class, RequestTimer.class, NoTag.class);

    private final CoreSettings settings;
    private final DirectoryRouter router;
    private final ChartInstances<RequestId, RequestEvent, RequestData, RequestInput> requests;
    private final RequestInput inputWithoutAttempt;

    /**
     * Creates a controller without requests.
     *
     * @param settings the node's settings
     * @param router chooses the member for each attempt
     * @param listener is notified of each transition
     */
    public RequestController(CoreSettings settings, DirectoryRouter router, TransitionListener listener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.router = Objects.requireNonNull(router, "router");
        this.inputWithoutAttempt = new RequestInput(router, 0, null);
        Chart<RequestEvent, RequestData, RequestInput> chart = ChartReader.bundled("entry", VOCABULARY);
        this.requests = new ChartInstances<>(chart, event -> inputWithoutAttempt, listener);
    }

    /**
     * Handles a new request from a caller: refuses it if it is invalid, or else routes it.
     *
     * @param id the id of the request
     * @param request the request
     * @param deadline the monotonic time at which the caller gives up, in nanoseconds
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCallerRequest(RequestId id, CallerRequest request, long deadline, long now, Effects effects) {
        Optional<NotRunReason> refusal = refusalReason(request);
        if (refusal.isPresent()) {
            effects.emit(new Effect.ReplyToCaller(id, new RequestOutcome.NotRun(refusal.get())));
            return;
        }
        requests.begin(id, RequestData.initial(id, request, deadline), now);
        requests.fire(id, RequestEvent.ROUTE, inputWithoutAttempt, now, effects);
    }

    private Optional<NotRunReason> refusalReason(CallerRequest request) {
        Optional<ServiceSettings> service = settings.serviceOf(request.service());
        if (service.isEmpty()) {
            return Optional.of(NotRunReason.UNKNOWN_SERVICE);
        }
        boolean keyMissing = service.get().keyed() && request.key().isEmpty();
        return keyMissing ? Optional.of(NotRunReason.MISSING_KEY) : Optional.empty();
    }

    /**
     * Handles the end of an attempt as reported by the member that had it. Ignores attempts that are not open.
     *
     * @param from the member that reported it
     * @param ended the outcome of the attempt
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onAttemptEnded(MemberId from, PeerMessage.Ended ended, long now, Effects effects) {
        fireForAttempt(ended.id(), from, ended.attempt(), RequestEvent.ENDED, ended.outcome(), now, effects);
    }

    private void fireForAttempt(
            RequestId id,
            MemberId member,
            int attemptNumber,
            RequestEvent event,
            RequestOutcome outcome,
            long now,
            Effects effects) {
        Instance<RequestData> request = requests.find(id);
        Optional<Attempt> open =
                request == null ? Optional.empty() : request.data().openAttempt(attemptNumber);
        if (open.isPresent() && open.get().member().equals(member)) {
            requests.fire(id, event, new RequestInput(router, attemptNumber, outcome), now, effects);
        }
    }

    /**
     * Handles an attempt that was certainly not sent.
     *
     * @param to the member that it was addressed to
     * @param forward the message that was not sent
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onNotSent(MemberId to, PeerMessage.Forward forward, long now, Effects effects) {
        fireForAttempt(forward.id(), to, forward.attempt(), RequestEvent.NOT_SENT, null, now, effects);
    }

    /**
     * Handles the loss of the link to a member. Reroutes the requests in flight there, and ends those that are not safe
     * to resend.
     *
     * @param member the member
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onLinkLost(MemberId member, long now, Effects effects) {
        for (RequestId id : router.requestsAt(member)) {
            for (Attempt open : requests.find(id).data().openAttempts()) {
                fireForAttempt(id, member, open.number(), RequestEvent.LINK_LOST, null, now, effects);
            }
        }
    }

    /**
     * Handles a change of a row. Discards what is recorded about a member once its row says that its incarnation has
     * ended.
     *
     * @param row the row as the directory now has it
     * @param now the monotonic time, in nanoseconds
     */
    public void onRow(Row row, long now) {
        if (row.value() instanceof MemberRow member && member.status().hasEnded()) {
            router.forget(member.id(), now);
        }
    }

    /**
     * Handles the disconnect of a caller: ends its request and cancels the open attempts.
     *
     * @param id the id of the request
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void onCallerGone(RequestId id, long now, Effects effects) {
        requests.fire(id, RequestEvent.CALLER_GONE, inputWithoutAttempt, now, effects);
    }

    /**
     * Fires the timers that are due.
     *
     * @param now the monotonic time, in nanoseconds
     * @param effects receives the effects
     */
    public void advance(long now, Effects effects) {
        requests.advance(now, effects);
    }

    /**
     * Returns when the next timer is due.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long nextDue() {
        return requests.nextDue();
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the number of requests
     */
    public int openRequests() {
        return requests.size();
    }
}
