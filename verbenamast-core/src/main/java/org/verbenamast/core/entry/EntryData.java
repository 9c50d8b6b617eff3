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
 * @param target the member of the open attempt, or of the last one
 * @param triedNodes the nodes that have had an attempt and should not be selected again
 * @param serverSends the attempts that reached a server, or may have reached one
 * @param openedAttempts all attempts, those included that did not reach a server
 * @param refusal the reason of the last refusal
 * @param retryAfterMillis the shortest time until a server expects to have room, in milliseconds; 0 if unknown
 * @param mayHaveRun whether an attempt ended without a sign that the request has not run
 * @param isReplayable whether this node still has all of the request's body that has arrived
 * @param pauseRequired whether to wait before the owner of the key is asked again
 */
public record EntryData(
        EntryRequest request,
        Optional<Member> target,
        Set<String> triedNodes,
        int serverSends,
        int openedAttempts,
        Refusal refusal,
        long retryAfterMillis,
        boolean mayHaveRun,
        boolean isReplayable,
        boolean pauseRequired) {

    /** Checks the fields and copies the set. */
    public EntryData {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(target, "target");
        triedNodes = Set.copyOf(triedNodes);
        Objects.requireNonNull(refusal, "refusal");
    }

    static EntryData initial(EntryRequest request) {
        return new EntryData(request, Optional.empty(), Set.of(), 0, 0, Refusal.NO_SERVER, 0, false, true, false);
    }

    EntryData withOpenedAttempt(Member member) {
        return new EntryData(
                request,
                Optional.of(member),
                triedNodes,
                serverSends,
                openedAttempts + 1,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                isReplayable,
                false);
    }

    EntryData withRefusal(Refusal reason, long millis) {
        long earliest = retryAfterMillis == 0 ? millis : Math.min(retryAfterMillis, millis);
        return new EntryData(
                request,
                target,
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
                target,
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
                target,
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
                target,
                triedNodes,
                serverSends,
                openedAttempts,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                false,
                pauseRequired);
    }

    private Set<String> triedNodesAndTarget() {
        Set<String> nodes = new HashSet<>(triedNodes);
        target.ifPresent(member -> nodes.add(member.node()));
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

    boolean isKeyed() {
        return request.key().isPresent();
    }
}
