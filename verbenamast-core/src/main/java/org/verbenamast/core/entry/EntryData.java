package org.verbenamast.core.entry;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.roster.Member;

/**
 * The state of a request at its entry node. An attempt may end at the node beside a server, before it reaches the
 * server; the limit of a route counts only the attempts that reached one.
 *
 * @param request the request
 * @param attempts the open attempts, or the last one
 * @param triedNodes the nodes that have had an attempt and should not be selected again
 * @param serverSends the attempts that reached a server, or may have reached one, and have ended
 * @param openedAttempts all attempts, those included that did not reach a server
 * @param refusal the reason of the last refusal
 * @param retryAfterMillis the shortest time until a server expects to have room, in milliseconds; 0 if unknown
 * @param mayHaveRun whether an attempt ended without a sign that the request has not run
 * @param isReplayable whether this node still has all of the request's body that has arrived
 * @param pauseRequired whether to wait before the owner of the key is asked again
 */
public record EntryData(
        EntryRequest request,
        EntryAttempts attempts,
        Set<String> triedNodes,
        int serverSends,
        int openedAttempts,
        Refusal refusal,
        long retryAfterMillis,
        boolean mayHaveRun,
        boolean isReplayable,
        boolean pauseRequired) {

    /** Divides the time from arrival to deadline: the last part, in which no hedge is sent. */
    private static final int HEDGE_TIME_DIVISOR = 3;

    /** Checks the fields and copies the set. */
    public EntryData {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(attempts, "attempts");
        triedNodes = Set.copyOf(triedNodes);
        Objects.requireNonNull(refusal, "refusal");
    }

    static EntryData initial(EntryRequest request, long hedgeDelayNanos) {
        return new EntryData(
                request, EntryAttempts.none(hedgeDelayNanos), Set.of(), 0, 0, Refusal.NO_SERVER, 0, false, true, false);
    }

    /** Returns the member of the open attempt, or of the last one. */
    Optional<Member> target() {
        return attempts.main().map(SentAttempt::target);
    }

    EntryData withOpenedAttempt(Member member, long now) {
        SentAttempt attempt = new SentAttempt(openedAttempts + 1, member, now);
        return opened(attempts.withMain(attempt));
    }

    EntryData withHedge(Member member, long now) {
        return opened(attempts.withHedge(new SentAttempt(openedAttempts + 1, member, now)));
    }

    private EntryData opened(EntryAttempts next) {
        return new EntryData(
                request,
                next,
                triedNodes,
                serverSends,
                openedAttempts + 1,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                isReplayable,
                false);
    }

    /** Returns the state with a given open attempt as the main one, since it has ended. */
    EntryData withMain(int number) {
        return with(attempts.withMain(number));
    }

    /** Returns the state after the end of the main attempt, with the hedge in its place. */
    EntryData withHedgeAlone() {
        return with(attempts.withHedgeAlone());
    }

    private EntryData with(EntryAttempts next) {
        return new EntryData(
                request,
                next,
                triedNodes,
                serverSends,
                openedAttempts,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                isReplayable,
                pauseRequired);
    }

    EntryData withRefusal(Refusal reason, long millis) {
        long earliest = retryAfterMillis == 0 ? millis : Math.min(retryAfterMillis, millis);
        return new EntryData(
                request,
                attempts,
                triedNodesAndTarget(),
                serverSends + reason.countedSends(),
                openedAttempts,
                reason,
                earliest,
                mayHaveRun,
                isReplayable,
                !reason.sameServerMayServe());
    }

    /** Returns the state after an attempt that reached a server and may have run there. */
    EntryData withUncertainSend() {
        return new EntryData(
                request,
                attempts,
                triedNodesAndTarget(),
                serverSends + 1,
                openedAttempts,
                refusal,
                retryAfterMillis,
                true,
                isReplayable,
                false);
    }

    EntryData withoutPause() {
        return new EntryData(
                request,
                attempts,
                triedNodes,
                serverSends,
                openedAttempts,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                isReplayable,
                false);
    }

    EntryData withoutBody() {
        return new EntryData(
                request,
                attempts,
                triedNodes,
                serverSends,
                openedAttempts,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                false,
                pauseRequired);
    }

    /** Returns the nodes that have had an attempt, the open one included. */
    Set<String> triedNodesAndTarget() {
        Set<String> nodes = new HashSet<>(triedNodes);
        target().ifPresent(member -> nodes.add(member.node()));
        return nodes;
    }

    /** Returns whether the route's attempt limit allows the request to be sent to one more server. */
    boolean hasSendsLeft() {
        return serverSends + 1 < request.route().maxAttempts();
    }

    /** Returns whether the request can be sent again and may run again even if an earlier attempt has run. */
    boolean isRepeatable() {
        return isReplayable && request.route().kind().isRepeatable() && hasSendsLeft();
    }

    /** Returns whether a hedge may be sent: only a first attempt is open, and enough time is left for another. */
    boolean isHedgeable(long now) {
        long left = request.deadlineAt() - now;
        long budget = request.deadlineAt() - request.arrivedAt();
        return isRepeatable()
                && openedAttempts == 1
                && !isKeyed()
                && left >= budget / HEDGE_TIME_DIVISOR
                && left >= attempts.hedgeDelayNanos();
    }

    boolean isKeyed() {
        return request.key().isPresent();
    }
}
