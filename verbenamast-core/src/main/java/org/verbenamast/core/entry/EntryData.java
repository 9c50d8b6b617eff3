package org.verbenamast.core.entry;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.verbenamast.core.admission.Refusal;
import org.verbenamast.core.roster.Member;

/**
 * A request at its entry.
 *
 * @param request the request
 * @param target the member that has it, or had it last
 * @param triedNodes the nodes that were asked and should not be asked again
 * @param serverSends how often it has reached a server
 * @param openedAttempts how often a node was asked
 * @param refusal why it was refused last
 * @param retryAfterMillis when room is expected, in milliseconds; 0 where it is not known
 * @param mayHaveRun whether a try ended in a way that promises nothing about the run
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
        boolean pauseRequired) {

    /** Checks the fields and copies the set. */
    public EntryData {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(target, "target");
        triedNodes = Set.copyOf(triedNodes);
        Objects.requireNonNull(refusal, "refusal");
    }

    static EntryData initial(EntryRequest request) {
        return new EntryData(request, Optional.empty(), Set.of(), 0, 0, Refusal.NO_SERVER, 0, false, false);
    }

    EntryData withOpenedAttempt(Member to) {
        return new EntryData(
                request,
                Optional.of(to),
                triedNodes,
                serverSends,
                openedAttempts + 1,
                refusal,
                retryAfterMillis,
                mayHaveRun,
                false);
    }

    EntryData withRefusal(Refusal reason, long millis) {
        long soonest = retryAfterMillis == 0 ? millis : Math.min(retryAfterMillis, millis);
        return new EntryData(
                request,
                target,
                triedNodesAndTarget(),
                serverSends + reason.countedSends(),
                openedAttempts,
                reason,
                soonest,
                mayHaveRun,
                true);
    }

    /** Returns the request after a try of which nobody can tell whether it ran. */
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
                false);
    }

    EntryData withoutPause() {
        return new EntryData(
                request, target, triedNodes, serverSends, openedAttempts, refusal, retryAfterMillis, mayHaveRun, false);
    }

    private Set<String> triedNodesAndTarget() {
        Set<String> more = new HashSet<>(triedNodes);
        target.ifPresent(member -> more.add(member.node()));
        return more;
    }

    /** Tells whether the request may be sent to one more server. */
    boolean hasSendsLeft() {
        return serverSends + 1 < request.route().maxAttempts();
    }

    /** Tells whether the request may run once more though it may have run already. */
    boolean isRepeatable() {
        return request.route().kind().repeatable() && hasSendsLeft();
    }

    boolean isKeyed() {
        return request.key().isPresent();
    }
}
